import { test } from 'node:test';

import { NEVER_COLD } from '@boragepoint/placement';
import { expect } from 'earl';

import type { CallerRequest } from '../lib/caller-request.js';
import {
  type ServerPick,
  type ServerPickerContext,
  createServerPicker,
} from '../lib/pick-server.js';
import { createRouteTimes } from '../lib/route-times.js';
import { createServerLoad } from '../lib/server-load.js';
import type { PooledServer, ServerPool } from '../lib/server-pool.js';
import { createServiceDemand } from '../lib/service-demand.js';

const owner = {
  entry: { id: 'a', warmUpMs: 0, availabilityZone: 'z' },
  load: createServerLoad(2),
  avoidUntil: -Infinity,
  unreachableUntil: -Infinity,
  cold: NEVER_COLD,
} as unknown as PooledServer;

const req = {
  service: 's',
  route: { cfg: { objectiveMs: 500, priority: 0 } },
  answerBy: 2_000,
  disconnectSignal: new AbortController().signal,
} as unknown as CallerRequest;

function pickerOf(changes: Partial<ServerPickerContext> = {}) {
  return createServerPicker({
    pool: {
      get: () => owner,
      ofService: () => [owner],
      refresh: () => undefined,
      leaving: () => [],
      all: () => [],
    },
    eligibility: {
      isEligible: () => true,
      isEvacuated: () => false,
      isUnrestricted: () => true,
    },
    view: () => ({
      epoch: 1,
      change: 1,
      services: new Map([['s', [{ first: 0, last: 65_535, owner: 'a', granted: true }]]]),
    }),
    waitForPlacement: () => Promise.resolve(),
    ownersUnknownForMs: () => 0,
    distanceTo: () => 0,
    drainNoticeMs: () => 2_500,
    drainingSince: () => undefined,
    admittedShare: () => 1,
    routeTimes: createRouteTimes(() => 0),
    demand: createServiceDemand(() => 0),
    permits: {
      limitOf: () => undefined,
      isCold: () => false,
      takeHeld: () => undefined,
      acquire: () => Promise.resolve(undefined),
      giveBack: () => undefined,
      retryAfterMs: () => 0,
    },
    now: () => 0,
    random: () => 0,
    ...changes,
  });
}

test('the admitted share of the requests for a hot key is sent, and the rest is refused at once', async () => {
  let draw = 0;
  const picker = pickerOf({ admittedShare: () => 0.25, random: () => (draw++ % 100) / 100 });
  const picks = await Promise.all(Array.from({ length: 400 }, () => picker.pickOwner(req, 7)));
  expect(picks.filter((it) => it.kind === 'server').length).toEqual(100);
  const refused = picks.find((it) => it.kind === 'refuse');
  expect(refused?.kind === 'refuse' && refused.retryAfterMs).toEqual(1_600);
});

test('a request in flight while its key moved is not refused by the admitted share', async () => {
  const picker = pickerOf({ admittedShare: () => 0.01, random: () => 0.99 });
  expect((await picker.pickOwner(req, 7, 'b')).kind).toEqual('server');
});

// Guards against a route whose work takes longer than its objective, and that is refused as soon as a
// server runs any other request.
test('a request is sent to a server with a free slot although it will be late', async () => {
  const load = createServerLoad(2);
  const routeTimes = createRouteTimes(() => 0);
  for (let count = 0; count < 50; count += 1) {
    load.recordLatency(1, 250);
    routeTimes.record('long', 1_000, 1, 250);
  }
  load.recordSent(0);
  const pool = { get: () => ({ ...owner, load }), ofService: () => [], refresh: () => undefined };
  const picker = pickerOf({
    routeTimes,
    pool: { ...pool, leaving: () => [], all: () => [] } as unknown as ServerPool,
  });
  const route = { cfg: { ...req.route.cfg, name: 'long' } };
  const pick = await picker.pickOwner({ ...req, route } as unknown as CallerRequest, 7);
  expect(pick.kind).toEqual('server');
});

// Guards against a route whose requests are all refused because of former answers, at a server that
// would answer in time by its own estimate.
test('one request a second is sent where only the estimate of its route speaks against it', async () => {
  let now = 0;
  const load = createServerLoad(2);
  const routeTimes = createRouteTimes(() => now);
  for (let count = 0; count < 50; count += 1) {
    load.recordLatency(1, 250);
    routeTimes.record('slow', 2_000, 1, 250);
  }
  const pool = { get: () => ({ ...owner, load }), ofService: () => [], refresh: () => undefined };
  const picker = pickerOf({
    now: () => now,
    routeTimes,
    pool: { ...pool, leaving: () => [], all: () => [] } as unknown as ServerPool,
  });
  const route = { cfg: { ...req.route.cfg, name: 'slow' } };
  let sent = 0;
  for (; now < 2_950; now += 100) {
    const slowReq = { ...req, route, answerBy: now + 1_500 } as unknown as CallerRequest;
    if ((await picker.pickOwner(slowReq, 7)).kind === 'server') sent += 1;
  }
  expect(sent).toEqual(2);
});

test('a slow owner that can be reached is not skipped', async () => {
  const slow = { ...owner, avoidUntil: Infinity };
  const pool = {
    get: () => slow,
    ofService: () => [],
    refresh: () => undefined,
    leaving: () => [],
    all: () => [],
  };
  expect((await pickerOf({ pool }).pickOwner(req, 7)).kind).toEqual('server');
});

test('a server that does not hold the key gets no further attempt until the key has moved', async () => {
  let waits = 0;
  let now = 0;
  const picker = pickerOf({
    now: () => now,
    waitForPlacement: (ms) => {
      waits += 1;
      now += ms;
      return Promise.resolve();
    },
  });
  expect((await picker.pickOwner(req, 7, 'a')).kind).toEqual('refuse');
  expect(waits > 0).toEqual(true);
});

// Guards against requests that reach a leaving server later than its notice allows.
test('an owner that drains is used for part of its notice, counted from when it can have begun', async () => {
  const pickAt = async (now: number) => {
    let clock = now;
    const picker = pickerOf({
      drainingSince: () => 0,
      now: () => clock,
      waitForPlacement: (ms) => {
        clock += ms;
        return Promise.resolve();
      },
    });
    return (await picker.pickOwner({ ...req, answerBy: 9_000 }, 7)).kind;
  };
  expect(await pickAt(2_100)).toEqual('server');
  expect(await pickAt(2_200)).toEqual('refuse');
});

/** A picker of idle servers without keys, of which some name a limit and some have a permit. */
function pickerOfLimited(
  limited: readonly string[],
  permitted: readonly string[],
  takeHeld?: (ids: string[]) => string | undefined,
) {
  const servers = ['a', 'b', 'c'].map((id) => ({
    ...owner,
    entry: { ...owner.entry, id },
    load: createServerLoad(2),
    backoffUntil: -Infinity,
  }));
  const asked: string[][] = [];
  const picker = pickerOf({
    pool: {
      get: (id) => servers.find((it) => it.entry.id === id),
      ofService: () => servers,
      refresh: () => undefined,
      leaving: () => [],
      all: () => [],
    },
    permits: {
      limitOf: ({ entry }) => (limited.includes(entry.id) ? 2 : undefined),
      isCold: ({ entry }) => takeHeld !== undefined && limited.includes(entry.id),
      takeHeld({ servers: wanted }) {
        const id = takeHeld?.(wanted.map((it) => it.entry.id));
        return wanted.find((it) => it.entry.id === id);
      },
      acquire(wanted) {
        asked.push(wanted.map((it) => it.entry.id));
        return Promise.resolve(wanted.find((it) => permitted.includes(it.entry.id)));
      },
      giveBack: () => undefined,
      retryAfterMs: () => 700,
    },
  });
  return { picker, asked };
}

test('a request whose best server has no permit left goes to a server without a limit', async () => {
  const { picker, asked } = pickerOfLimited(['a'], []);
  const pick = await picker.pickAny(req, []);
  expect(pick.kind === 'server' && pick.server.entry.id).toEqual('b');
  expect(pick.kind === 'server' && pick.hasPermit).toEqual(false);
  expect(asked).toEqual([['a']]);
});

test('if all servers name a limit, one call asks for a permit of any of them', async () => {
  const { picker, asked } = pickerOfLimited(['a', 'b', 'c'], ['c']);
  const pick = await picker.pickAny(req, []);
  expect(pick.kind === 'server' && pick.server.entry.id).toEqual('c');
  expect(pick.kind === 'server' && pick.hasPermit).toEqual(true);
  expect(asked).toEqual([['a', 'b', 'c']]);
});

// Guards against requests that wait for the leader although a warm server could take them.
test('without a held permit for the best server, which is cold, a request goes elsewhere at once', async () => {
  const wanted: string[][] = [];
  const { picker, asked } = pickerOfLimited(['a', 'c'], ['a'], (ids) => {
    wanted.push(ids);
    return wanted.length === 1 ? undefined : 'c';
  });
  const first = await picker.pickAny(req, []);
  expect(first.kind === 'server' && first.server.entry.id).toEqual('b');
  expect(first.kind === 'server' && first.hasPermit).toEqual(false);
  const second = await picker.pickAny(req, []);
  expect(second.kind === 'server' && second.server.entry.id).toEqual('c');
  expect(second.kind === 'server' && second.hasPermit).toEqual(true);
  expect(wanted).toEqual([
    ['a', 'c'],
    ['a', 'c'],
  ]);
  expect(asked).toEqual([]);
});

// Guards against requests that wait for room which does not come.
test('beyond the limits of all servers a request is refused at once, with a time to come back', async () => {
  const { picker, asked } = pickerOfLimited(['a', 'b', 'c'], []);
  const pick = await picker.pickAny(req, []);
  expect(pick.kind === 'refuse' && pick.retryAfterMs).toEqual(700);
  expect(asked.length).toEqual(1);
});

/** A picker of servers in the zones `z1` and `z2`, where only some zones are eligible. */
function pickerInZones(eligible: readonly string[], more: Partial<ServerPickerContext> = {}) {
  const servers = ['z1', 'z2'].map((zone) => ({
    ...owner,
    entry: { ...owner.entry, id: zone === 'z1' ? 'a' : 'b', availabilityZone: zone },
    load: createServerLoad(2),
    backoffUntil: -Infinity,
  }));
  const pool = {
    get: (id: string) => servers.find((it) => it.entry.id === id),
    ofService: () => servers as readonly PooledServer[],
    refresh: () => undefined,
    leaving: () => [] as readonly PooledServer[],
    all: () => [],
  };
  const eligibility = {
    isEligible: ({ availabilityZone }: { availabilityZone: string }) =>
      eligible.includes(availabilityZone),
    isEvacuated: () => false,
    isUnrestricted: () => false,
  };
  return { servers, pool, picker: pickerOf({ pool, eligibility, ...more }) };
}

const resultOf = (pick: Awaited<ReturnType<ReturnType<typeof pickerOf>['pickAny']>>) =>
  pick.kind === 'refuse' ? (pick.result ?? 'overloaded') : pick.server.entry.id;

test('only eligible servers are picked, also for a retry when all of them have been tried', async () => {
  const { picker } = pickerInZones(['z2']);
  expect(resultOf(await picker.pickAny(req, []))).toEqual('b');
  expect(resultOf(await picker.pickAny(req, ['b']))).toEqual('overloaded');
});

// Guards against requests that wait for their deadline although nobody may serve them.
test('without an eligible server a request is refused at once, for a reason of its own', async () => {
  const { picker, pool } = pickerInZones([]);
  const pick = await picker.pickAny(req, []);
  expect(resultOf(pick)).toEqual('noEligibleServer');
  expect(pick.kind === 'refuse' && pick.retryAfterMs >= 1_000).toEqual(true);
  const none = pickerInZones([], { pool: { ...pool, ofService: () => [] } }).picker;
  expect(resultOf(await none.pickAny(req, []))).toEqual('overloaded');
});

test('a draining server is picked only where it is eligible', async () => {
  const { servers, pool } = pickerInZones([]);
  const leaving = { ...pool, ofService: () => [], leaving: () => servers };
  const pickIn = (zones: readonly string[]) =>
    pickerInZones(zones, { pool: leaving }).picker.pickAny(req, []);
  expect(resultOf(await pickIn(['z2']))).toEqual('b');
  expect(resultOf(await pickIn([]))).toEqual('noEligibleServer');
});

test('a permit is asked for only at eligible servers', async () => {
  const asked: string[][] = [];
  const { picker } = pickerInZones(['z2'], {
    permits: {
      limitOf: () => 2,
      isCold: () => false,
      takeHeld: () => undefined,
      acquire(wanted) {
        asked.push(wanted.map((it) => it.entry.id));
        return Promise.resolve(undefined);
      },
      giveBack: () => undefined,
      retryAfterMs: () => 700,
    },
  });
  await picker.pickAny(req, []);
  expect(asked).toEqual([['b']]);
});

test('a key whose owner is outside the allowed regions is refused without waiting', async () => {
  let waits = 0;
  const waitForPlacement = () => {
    waits += 1;
    return Promise.resolve();
  };
  const { picker } = pickerInZones(['z2'], { waitForPlacement });
  expect(resultOf(await picker.pickOwner(req, 7))).toEqual('noEligibleServer');
  expect(waits).toEqual(0);
});

// Guards against requests that are refused during the hand-over of an evacuated owner's keys.
test('a key whose owner is evacuated is waited for until it has another owner', async () => {
  let now = 0;
  let ownedBy = 'a';
  const { picker } = pickerInZones(['z2'], {
    now: () => now,
    eligibility: {
      isEligible: ({ availabilityZone }) => availabilityZone === 'z2',
      isEvacuated: ({ availabilityZone }) => availabilityZone === 'z1',
      isUnrestricted: () => false,
    },
    view: () => ({
      epoch: 1,
      change: 1,
      services: new Map([['s', [{ first: 0, last: 65_535, owner: ownedBy, granted: true }]]]),
    }),
    waitForPlacement: () => {
      now += 100;
      if (now === 200) ownedBy = 'b';
      return Promise.resolve();
    },
  });
  expect(resultOf(await picker.pickOwner(req, 7))).toEqual('b');
  expect(now).toEqual(200);
});

/** A picker of servers without keys in one zone, of which the first ones are the subset. */
function pickerOfSubset(
  count: number,
  subsetSize: number,
  changesOf: (index: number) => Partial<PooledServer>,
  more: Partial<ServerPickerContext> = {},
) {
  const servers = Array.from({ length: count }, (_, index) => ({
    ...owner,
    entry: { ...owner.entry, id: `s${index}` },
    load: createServerLoad(2, () => 50),
    backoffUntil: -Infinity,
    ...changesOf(index),
  }));
  let widened = 0;
  const picker = pickerOf({
    pool: {
      get: (id) => servers.find((it) => it.entry.id === id),
      ofService: () => servers,
      refresh: () => undefined,
      leaving: () => [],
      all: () => [],
    },
    subsets: {
      draw: (_service, eligible) => eligible.slice(0, subsetSize),
      noteWidened: () => {
        widened += 1;
      },
    },
    ...more,
  });
  return { picker, servers, widened: () => widened };
}

const pickedId = (pick: ServerPick) =>
  pick.kind === 'server' ? Number(pick.server.entry.id.slice(1)) : pick.reason;

test('a request stays within the subset while one of its servers can take it', async () => {
  const { picker, widened } = pickerOfSubset(20, 4, (index) => ({
    backoffUntil: index < 3 ? 1_000 : -Infinity,
  }));
  expect(pickedId(await picker.pickAny(req, []))).toEqual(3);
  expect(widened()).toEqual(0);
});

function failingLoad() {
  const load = createServerLoad(2, () => 50);
  for (let index = 0; index < 20; index += 1) {
    load.recordSent(0);
    load.recordDone(0, true);
  }
  return load;
}

/** A full server, where an answer would come long after the latency objective. */
function fullLoad() {
  const load = createServerLoad(2, () => 50);
  load.recordReport(0, { running: 2, waiting: 24, slots: 2, slowdown: 1 });
  return load;
}

const LOST_SUBSETS: Readonly<Record<string, () => Partial<PooledServer>>> = {
  'asks for back-off': () => ({ backoffUntil: 1_000 }),
  'is avoided': () => ({ avoidUntil: 1_000 }),
  'fails requests': () => ({ load: failingLoad() }),
  'is full': () => ({ load: fullLoad() }),
};

// Guards against refusals while servers outside of the subset are idle.
for (const [fault, changes] of Object.entries(LOST_SUBSETS)) {
  test(`if each server of the subset ${fault}, a request goes to another server`, async () => {
    const { picker, widened } = pickerOfSubset(20, 14, (index) => (index < 14 ? changes() : {}));
    const id = pickedId(await picker.pickAny(req, []));
    expect(typeof id === 'number' && id >= 14).toEqual(true);
    expect(widened()).toEqual(1);
  });
}

test('a request that all servers of the subset have had goes to another server', async () => {
  const { picker } = pickerOfSubset(20, 3, () => ({}));
  const id = pickedId(await picker.pickAny(req, ['s0', 's1', 's2']));
  expect(typeof id === 'number' && id >= 3).toEqual(true);
});

test('without permits for the servers of the subset a request goes to a server without a limit', async () => {
  const { picker } = pickerOfSubset(20, 3, () => ({}), {
    permits: {
      limitOf: ({ entry }) => (Number(entry.id.slice(1)) < 3 ? 2 : undefined),
      isCold: () => false,
      takeHeld: () => undefined,
      acquire: () => Promise.resolve(undefined),
      giveBack: () => undefined,
      retryAfterMs: () => 0,
    },
  });
  const id = pickedId(await picker.pickAny(req, []));
  expect(typeof id === 'number' && id >= 3).toEqual(true);
});
