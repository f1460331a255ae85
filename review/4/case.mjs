/** A backend leaves while the machine that leads the placement is partitioned from the store. */
import console from 'node:console';
import path from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

import { sendKeyed, startFleet } from '../lib/fleet.mjs';
import { sleep } from '../lib/net.mjs';
import { createRecord } from '../lib/record.mjs';
import { isBuilt } from '../lib/routers.mjs';

const HELD = 0;
const BROKEN = 1;
const CANT_RUN = 2;
const WARM_UP_MS = 8_000;
const ROUNDS = 5;
/** `drain_ms`, and how long a backend serves after the store has taken its report. */
const DRAIN_MS = 2_500;
const SERVES_MS = 2_800;
const CUT_MS = 5_500;
/** Time from the cut to the report. */
const LEAVES_AFTER_MS = 200;
const PAUSE_MS = 8_000;

const isDisturbed = process.env.TROUBLE !== '0';
const dir = path.dirname(fileURLToPath(import.meta.url));

async function main() {
  if (!isBuilt()) return CANT_RUN;
  const record = createRecord(path.join(dir, 'record.txt'));
  const sentBy = new Map();
  const leftAt = new Map();
  const late = new Map();
  const counts = {};
  const listeners = {
    onReach({ backend, attempt, at }) {
      const left = leftAt.get(backend.id);
      const router = sentBy.get(attempt);
      if (left === undefined || at <= left.at + DRAIN_MS || router === left.cut) return;
      late.set(attempt, { server: backend.id, router: router?.id, afterMs: at - left.at });
    },
  };
  const fleet = await startFleet({ record, listeners, hasProxies: true, routers: 4 });
  let leader = fleet.routers[0];
  for (const it of fleet.routers) {
    it.onOutput = (text) => {
      if (text.includes('"leading placement"')) leader = it;
    };
  }
  try {
    if (!(await fleet.areReady())) return CANT_RUN;
    await sleep(WARM_UP_MS);
    let isOver = false;
    const sending = sendKeyed({
      routers: fleet.routers,
      record,
      perS: 50,
      isOver: () => isOver,
      onSend: ({ attempt, router }) => sentBy.set(attempt, router),
      onAnswer({ status }, attempt) {
        counts[status] = (counts[status] ?? 0) + 1;
        if (late.has(attempt)) late.get(attempt).status = status;
      },
    });
    await sleep(4_000);
    for (let round = 0; round < ROUNDS; round += 1) {
      await fleet.addBackend(`i-n${round}`);
      await sleep(PAUSE_MS);
      const cut = isDisturbed ? leader : undefined;
      const proxy = fleet.proxies[fleet.routers.indexOf(cut)];
      record.note('partitioned from the store', { router: cut?.id ?? '-' });
      proxy?.goSilent();
      await sleep(LEAVES_AFTER_MS);
      const backend = fleet.backends[round];
      leftAt.set(backend.id, { at: backend.leave(SERVES_MS), cut });
      await sleep(CUT_MS - LEAVES_AFTER_MS);
      proxy?.heal();
      record.note('reaches the store again', { router: cut?.id ?? '-' });
    }
    isOver = true;
    await sending;
  } finally {
    await fleet.stop();
  }
  for (const [attempt, it] of late) record.note('BROKEN DRAIN', { attempt, ...it });
  const lost = [...late.values()].filter((it) => it.status !== 200).length;
  console.log(`answers ${JSON.stringify(counts)}; late ${late.size}, of these not served ${lost}`);
  record.note('result', { late: late.size, lost });
  record.save();
  if (!(counts[200] > 100)) return CANT_RUN;
  return late.size > 0 ? BROKEN : HELD;
}

process.exit(await main());
