/** Backends that are partitioned from the store crash behind the cut and start again. */
import console from 'node:console';
import path from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

import { sendKeyed, startFleet } from '../lib/fleet.mjs';
import { createHolds } from '../lib/holds.mjs';
import { sleep } from '../lib/net.mjs';
import { createRecord } from '../lib/record.mjs';
import { isBuilt } from '../lib/routers.mjs';

const HELD = 0;
const BROKEN = 1;
const CANT_RUN = 2;
const WARM_UP_MS = 8_000;
const CUTS = 10;
/** Length of a cut between a backend and the store. */
const CUT_MS = 2_500;
/** Time from the beginning of the cut to the crash, and from that to the next start. */
const CRASH_AFTER_MS = 200;
const DOWN_MS = 300;
const PAUSE_MS = 6_000;
/** Grants that arrive within `thaw_ms` after a link healed don't count. */
const THAW_MS = 300;

const isDisturbed = process.env.TROUBLE !== '0';
const dir = path.dirname(fileURLToPath(import.meta.url));

async function main() {
  if (!isBuilt()) return CANT_RUN;
  const record = createRecord(path.join(dir, 'record.txt'));
  const holds = createHolds();
  let healedAt = -Infinity;
  const listeners = {
    onGrant(grant) {
      if (grant.at > healedAt + THAW_MS) holds.onGrant(grant);
    },
    onRelease: holds.onRelease,
    onRun: holds.onRun,
  };
  const fleet = await startFleet({ record, listeners });
  const counts = {};
  try {
    if (!(await fleet.areReady())) return CANT_RUN;
    await sleep(WARM_UP_MS);
    let isOver = false;
    const sending = sendKeyed({
      routers: fleet.routers,
      record,
      perS: 40,
      isOver: () => isOver,
      onAnswer({ status }) {
        counts[status] = (counts[status] ?? 0) + 1;
      },
    });
    await sleep(3_000);
    for (let round = 0; round < CUTS; round += 1) {
      const backend = fleet.backends[round % fleet.backends.length];
      if (isDisturbed) {
        record.note('cut from the store', { server: backend.id });
        backend.reachesStore = false;
        await sleep(CRASH_AFTER_MS);
        backend.crash();
        holds.onCrash(backend, record.now());
        await sleep(DOWN_MS);
        await backend.start();
        await sleep(CUT_MS - CRASH_AFTER_MS - DOWN_MS);
        backend.reachesStore = true;
        healedAt = record.note('reaches the store again', { server: backend.id });
      } else {
        await sleep(CUT_MS);
      }
      await sleep(PAUSE_MS);
    }
    isOver = true;
    await sending;
  } finally {
    await fleet.stop();
  }
  const overlaps = holds.overlaps();
  const broken = overlaps.filter((it) => it.isBroken);
  for (const it of broken) {
    const { lives, fences, from, to, at, until, bothRan } = it;
    record.note('BROKEN OWNER', { lives, fences, from, to, at, forMs: until - at, bothRan });
  }
  const line = `answers ${JSON.stringify(counts)}; overlaps ${overlaps.length}, broken ${broken.length}`;
  console.log(line, broken.slice(0, 3));
  record.note('result', { broken: broken.length, overlaps: overlaps.length });
  record.save();
  if (!(counts[200] > 100)) return CANT_RUN;
  return broken.length > 0 ? BROKEN : HELD;
}

process.exit(await main());
