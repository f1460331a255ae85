import { test } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import {
  type Quarantine,
  type QuarantineEntry,
  type QuarantineRun,
  createQuarantine,
  fingerprintOf,
  fromPeerEntry,
  toPeerEntry,
} from '../index.js';

const SERVICE = 'caja';
const SEED = 20_260_117;
const CRASHING = 'crashing';
const HOUR_MS = 3_600_000;

const soon = () => performance.now() + 10_000;

async function admit(quarantine: Quarantine, fingerprint: string, server = 's1') {
  return quarantine.admit({ service: SERVICE, fingerprint, server, deadlineAt: soon() });
}

async function admitOrThrow(quarantine: Quarantine, fingerprint: string, server = 's1') {
  const admission = await admit(quarantine, fingerprint, server);
  if (admission.kind !== 'run') throw new Error(admission.kind);
  return admission.run;
}

test('the fingerprint covers service, method, path and body', () => {
  const req = { service: 'caja', method: 'POST', path: '/pay', body: new Uint8Array([1]) };
  const others = [
    { ...req, service: 'bandeja' },
    { ...req, method: 'PUT' },
    { ...req, path: '/pay?x' },
    { ...req, body: new Uint8Array([1, 0]) },
  ];
  const hashes = new Set([req, { ...req }, ...others].map(fingerprintOf));
  expect(hashes.size).toEqual(1 + others.length);
});

test('requests in flight on a lost connection are suspect, run alone next and are then released', async () => {
  const quarantine = createQuarantine();
  const first = await admitOrThrow(quarantine, 'a');
  const second = await admitOrThrow(quarantine, 'b');
  expect(first.isExclusive).toEqual(false);
  await Promise.all([first.lost(), second.lost()]);

  const again = await admitOrThrow(quarantine, 'a', 's2');
  expect(again.isExclusive).toEqual(true);
  let isAdmitted = false;
  const other = admit(quarantine, 'healthy', 's2').then((admission) => {
    isAdmitted = true;
    return admission;
  });
  await new Promise(setImmediate);
  expect(isAdmitted).toEqual(false);
  again.answered();
  expect((await other).kind).toEqual('run');
  expect(quarantine.isSuspect(SERVICE, 'a')).toEqual(false);
  expect(quarantine.isSuspect(SERVICE, 'b')).toEqual(true);
  expect(quarantine.list()).toEqual([]);
});

test('a suspect waits for running requests until its deadline', async () => {
  const quarantine = createQuarantine();
  await (await admitOrThrow(quarantine, 'a')).lost();
  const healthy = await admitOrThrow(quarantine, 'healthy', 's2');
  const req = { service: SERVICE, fingerprint: 'a', server: 's2' };
  const late = await quarantine.admit({ ...req, deadlineAt: performance.now() + 5 });
  expect(late).toEqual({ kind: 'too-late' });
  const waiting = admitOrThrow(quarantine, 'a', 's2');
  healthy.answered();
  expect((await waiting).isExclusive).toEqual(true);
});

test('a loss during an exclusive run quarantines the request until an operator releases it', async () => {
  const quarantine = createQuarantine();
  await (await admitOrThrow(quarantine, 'a')).lost();
  await (await admitOrThrow(quarantine, 'a', 's2')).lost();
  expect((await admit(quarantine, 'a', 's3')).kind).toEqual('quarantined');
  expect(quarantine.list(SERVICE).map((entry) => entry.fingerprint)).toEqual(['a']);
  expect(await quarantine.release(SERVICE, 'a')).toEqual(true);
  expect((await admit(quarantine, 'a', 's3')).kind).toEqual('run');
});

test('a request is suspect after its quarantine, runs alone and can be quarantined again', async () => {
  let wallMs = 1_000_000;
  const clock = { now: () => performance.now(), wallNow: () => wallMs };
  const quarantine = createQuarantine({ clock });
  await (await admitOrThrow(quarantine, 'a')).lost();
  await (await admitOrThrow(quarantine, 'a', 's2')).lost();
  wallMs += HOUR_MS + 1;
  const run = await admitOrThrow(quarantine, 'a', 's3');
  expect(run.isExclusive).toEqual(true);
  await run.lost();
  expect((await admit(quarantine, 'a', 's4')).kind).toEqual('quarantined');
});

test('a request that was refused or timed out stays suspect and is not quarantined', async () => {
  const quarantine = createQuarantine();
  await (await admitOrThrow(quarantine, 'a')).lost();
  (await admitOrThrow(quarantine, 'a', 's2')).ended();
  expect((await admitOrThrow(quarantine, 'a', 's2')).isExclusive).toEqual(true);
  expect(quarantine.list()).toEqual([]);
});

test('entries merge to the same state in any order, also after encoding for peers', () => {
  const entryArbitrary = fc.record({
    service: fc.constant(SERVICE),
    fingerprint: fc.constantFrom('a', 'b'),
    suspect: fc.boolean(),
    released: fc.boolean(),
    expiresAtMs: fc.integer({ min: HOUR_MS, max: HOUR_MS + 3 }),
    changedAtMs: fc.nat(3),
  });
  const clock = { now: () => 0, wallNow: () => 0 };
  const stateOf = (entries: QuarantineEntry[]) => {
    const quarantine = createQuarantine({ clock });
    quarantine.merge(entries.map((entry) => fromPeerEntry(toPeerEntry(entry))));
    return quarantine.entries().sort((x, y) => (x.fingerprint < y.fingerprint ? -1 : 1));
  };
  const property = fc.property(fc.array(entryArbitrary, { maxLength: 6 }), (entries) => {
    expect(stateOf([...entries].reverse())).toEqual(stateOf(entries));
  });
  fc.assert(property, { seed: SEED });
});

test('a heartbeat carries a bounded number of entries, and successive ones cover all', async () => {
  const quarantine = createQuarantine();
  const names = ['a', 'b', 'c', 'd', 'e'];
  for (const name of names) await (await admitOrThrow(quarantine, name)).lost();
  const heartbeats = [1, 2, 3].map(() => quarantine.heartbeatEntries(2));
  expect(heartbeats.every((heartbeat) => heartbeat.length <= 2)).toEqual(true);
  expect(heartbeats.flat().map((entry) => entry.fingerprint)).toEqual(names);
});

interface RuleSet {
  /** The caller of a lost run is answered only after the peers have received the entry. */
  readonly broadcasts: boolean;
  /** The owner's keeper runs all suspects. */
  readonly runsSuspectsAtKeeper: boolean;
}

interface Round {
  /** Router that receives the crashing request. */
  readonly router: number;
  /** Routers that receive harmless requests at the same time; the index identifies the request. */
  readonly harmless: readonly number[];
}

const ROUTERS = 3;

/** Answers requests one after another, including those that this admits, until `stop` is true. */
async function answerAll(inFlight: QuarantineRun[], stop: () => boolean): Promise<void> {
  while (!stop() && inFlight.length > 0) {
    inFlight.shift()?.answered();
    await new Promise(setImmediate);
  }
}

/**
 * Sends a crashing request once per round through a router, in parallel with harmless requests.
 * After each crash the key moves to the next server. Counts the crashes and the harmless requests
 * that were quarantined.
 */
async function crashRepeatedly(rounds: readonly Round[], rules: RuleSet) {
  const routers: Quarantine[] = [];
  const broadcast = (entries: readonly QuarantineEntry[]) => {
    if (rules.broadcasts) for (const router of routers) router.merge(entries);
    return Promise.resolve();
  };
  for (let i = 0; i < ROUTERS; i += 1) routers.push(createQuarantine({ broadcast }));
  let crashes = 0;
  const serverNow = () => `s${crashes}`;

  function routerFor(entry: number, fingerprint: string): Quarantine {
    const router = routers[entry % ROUTERS];
    const keeper = routers[crashes % ROUTERS];
    if (router === undefined || keeper === undefined) throw new Error('no such router');
    return rules.runsSuspectsAtKeeper && router.isSuspect(SERVICE, fingerprint) ? keeper : router;
  }

  for (const { router, harmless } of rounds) {
    const inFlight: QuarantineRun[] = [];
    for (const [index, entry] of harmless.entries()) {
      const name = `harmless-${index}`;
      void admit(routerFor(entry, name), name, serverNow()).then((it) => {
        if (it.kind === 'run') inFlight.push(it.run);
      });
      await new Promise(setImmediate);
    }
    let crash: QuarantineRun | undefined;
    const admitted = admit(routerFor(router, CRASHING), CRASHING, serverNow()).then((it) => {
      if (it.kind === 'run') crash = it.run;
    });
    await new Promise(setImmediate);
    await answerAll(inFlight, () => crash !== undefined);
    await admitted;
    if (crash !== undefined) {
      crashes += 1;
      await Promise.all([crash, ...inFlight.splice(0)].map((run) => run.lost()));
    }
    await answerAll(inFlight, () => false);
  }
  const quarantined = new Set(routers.flatMap((it) => it.list().map((entry) => entry.fingerprint)));
  quarantined.delete(CRASHING);
  return { crashes, harmlessQuarantined: quarantined.size };
}

const routerArbitrary = fc.nat(ROUTERS - 1);
const roundsArbitrary = fc.array(
  fc.record({ router: routerArbitrary, harmless: fc.array(routerArbitrary, { maxLength: 3 }) }),
  { minLength: 4, maxLength: 8 },
);

function findViolation(rules: RuleSet) {
  const property = fc.asyncProperty(roundsArbitrary, async (rounds) => {
    const { crashes, harmlessQuarantined } = await crashRepeatedly(rounds, rules);
    return crashes <= 2 && harmlessQuarantined === 0;
  });
  return fc.check(property, { seed: SEED, numRuns: 200, endOnFailure: true });
}

test('a crashing request crashes at most two servers, and no other request is quarantined', async () => {
  expect((await findViolation({ broadcasts: true, runsSuspectsAtKeeper: true })).failed).toEqual(
    false,
  );
});

test('without the broadcast of entries to the peers, a request crashes more than two servers', async () => {
  expect((await findViolation({ broadcasts: false, runsSuspectsAtKeeper: true })).failed).toEqual(
    true,
  );
});

test('if any router runs suspects, two run in parallel and a harmless request is quarantined', async () => {
  expect((await findViolation({ broadcasts: true, runsSuspectsAtKeeper: false })).failed).toEqual(
    true,
  );
});
