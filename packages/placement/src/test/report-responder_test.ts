import { mock, test } from 'node:test';

import { ReportRequestSchema } from '@boragepoint/protocol';
import { type MessageInitShape, create } from '@bufbuild/protobuf';
import { expect } from 'earl';

import { createPublishedShares } from '../lib/admitted-shares.js';
import { createChangeSignal } from '../lib/change-signal.js';
import { createLimitExchange } from '../lib/limit-exchange.js';
import type { PlacementLeader } from '../lib/placement-leader.js';
import { type ReportResponderOptions, createReportResponder } from '../lib/report-responder.js';
import { createReporters } from '../lib/reporters.js';
import type { IncarnationId } from '../lib/server-directory.js';
import { createServerLimits } from '../lib/server-limits.js';
import type { ServiceLoadReport } from '../lib/service-planner.js';
import { createSuspectExchange } from '../lib/suspect-exchange.js';
import { createSuspectRecord } from '../lib/suspect-record.js';
import { processClocks } from '../lib/suspension-guard.js';
import { createFakeDirectory } from './fake-directory.js';

const WAIT_MS = 60_000;

/** A leader whose placement does not change. */
const idleLeader = {
  epoch: 3,
  startedAt: 0,
  view: () => ({ epoch: 3, change: 5, services: new Map() }),
  changedSince: () => new Map(),
  admitted: createPublishedShares(),
  waitForChange: () => new Promise<void>(() => undefined),
  witnesses: () => [],
  isLeaseExpired: () => false,
} as unknown as PlacementLeader;

/** Creates a responder with an idle leader. */
function createResponder(more: Partial<ReportResponderOptions> = {}) {
  const suspects = createSuspectRecord(() => 0);
  return createReportResponder({
    startedMs: 1,
    exchange: createSuspectExchange({
      address: 'self',
      record: suspects,
      peers: { shareSuspects: () => Promise.resolve(undefined) },
      clocks: processClocks,
      log: { info: () => undefined, warn: () => undefined },
      reporters: () => [],
      leader: () => undefined,
      others: () => [],
      onChange: () => undefined,
    }),
    suspects,
    limitExchange: createLimitExchange({
      limits: createServerLimits(() => 0),
      clocks: processClocks,
      log: { info: () => undefined, warn: () => undefined },
      onLearned: () => undefined,
    }),
    reporters: createReporters(processClocks),
    directory: createFakeDirectory([]),
    leader: () => idleLeader,
    followedLeader: () => undefined,
    routers: () => 2,
    positionOf: () => undefined,
    tables: () => [],
    storeChanges: createChangeSignal(),
    ...more,
  });
}

function report(more: MessageInitShape<typeof ReportRequestSchema> = {}) {
  const known = { knownEpoch: 3n, knownChange: 5n };
  return create(ReportRequestSchema, { router: 'r', address: 'r:1', ...known, ...more });
}

// Guards against routers that learn of a short loss of the store too late, because the leader
// answers their waiting report late.
test('a waiting report is answered immediately when the leader loses the store', async (t) => {
  // With mocked timers, no wait ends by its timeout.
  mock.timers.enable({ apis: ['setTimeout'] });
  t.after(() => {
    mock.timers.reset();
  });
  const storeChanges = createChangeSignal();
  let answers = true;
  const tables = () => [{ table: 't', answers, version: 7, confirmedAt: -Infinity }];
  const respond = createResponder({ tables, storeChanges });
  const waiting = respond(report({ waitMs: WAIT_MS }));
  answers = false;
  storeChanges.wakeAll();
  const reply = await waiting;
  expect(reply.tables).toEqual([{ table: 't', answers: false, version: 7n }]);
});

// Guards against a router that takes the time of an answer for the time up to which the leader knew
// all changes.
test('an answer says up to when the leader knew all changes of a table', async (t) => {
  t.mock.method(performance, 'now', () => 5_000);
  const tables = () => [{ table: 't', answers: true, version: 7, confirmedAt: 4_200.5 }];
  const reply = await createResponder({ tables })(report());
  expect(reply.tables).toEqual([
    { table: 't', answers: true, version: 7n, confirmedAfterMs: -800 },
  ]);
});

/** Returns a registry with one removed entry and one changed entry of a size in bytes. */
function changedRegistry(bytes: number) {
  const changed = [{ key: 's', version: 9, value: new Uint8Array(bytes) }];
  const updateSince = (known: number) =>
    known < 9 ? { version: 9, changed, removed: ['gone'] } : undefined;
  return { ...createFakeDirectory([]), updateSince, hasNewsSince: () => true };
}

// Guards against hundreds of routers that each ask the store for every change of the registry, and
// against a change between two reports that is sent only with the next change.
test('an answer immediately contains the changes of the registry since the reported version', async () => {
  const respond = createResponder({ directory: changedRegistry(100) });
  const { servers } = await respond(report({ knownServers: 8n, waitMs: WAIT_MS }));
  expect(servers?.changed?.map((it) => it.key)).toEqual(['s']);
  expect(servers?.removed).toEqual(['gone']);
  expect((await respond(report({ knownServers: 9n }))).servers).toEqual(undefined);
});

test('an answer contains no changes of the registry for a router that has not read it or lacks too much of it', async () => {
  const respond = createResponder({ directory: changedRegistry(100) });
  expect((await respond(report({ knownServers: 0n }))).servers).toEqual(undefined);
  const large = createResponder({ directory: changedRegistry(1 << 20) });
  expect((await large(report({ knownServers: 8n }))).servers).toEqual(undefined);
});

// Guards against answers that grow with the number of limited servers, and against a limit that is not
// lifted at a router that knows a change of another epoch.
test('an answer contains the admitted shares that changed since the reported change of its epoch', async () => {
  const admitted = createPublishedShares();
  admitted.update(
    new Map([
      ['a', 0.5],
      ['b', 0.5],
    ]),
  );
  const known = admitted.change();
  admitted.update(new Map([['a', 0.5]]));
  const leader = { ...idleLeader, admitted };
  const respond = createResponder({ leader: () => leader });
  const sharesFor = async (fields: Parameters<typeof report>[0]) => {
    const reply = await respond(report({ ...fields, waitMs: 1 }));
    return [reply.admittedChanges, reply.admitted?.map((it) => [it.server, it.share])];
  };
  expect(await sharesFor({ knownAdmitted: BigInt(known) })).toEqual([true, [['b', 1]]]);
  const all = [false, [['a', 0.5]]];
  expect(await sharesFor({ knownAdmitted: 0n })).toEqual(all);
  expect(await sharesFor({ knownEpoch: 2n, knownAdmitted: BigInt(known) })).toEqual(all);
});

// Guards against measurements of another router that make every plan of the leader a guess, and
// against ids of incarnations that no message can carry.
test('odd measurements and incarnations in a report are ignored, and the others are used', async () => {
  const loads: ServiceLoadReport[] = [];
  const left: IncarnationId[] = [];
  const leader = {
    ...idleLeader,
    report: (load: ServiceLoadReport) => loads.push(load),
  } as unknown as PlacementLeader;
  const directory = {
    ...createFakeDirectory([]),
    noteLeaving(it: IncarnationId) {
      left.push(it);
      return true;
    },
  };
  const sound = {
    server: 'a',
    latencyMs: 1,
    units: 2,
    answered: 3,
    failed: 0,
    loadReports: 0,
    queuedPerSlot: 0,
  };
  const odd = [
    { ...sound, latencyMs: NaN },
    { ...sound, units: Infinity },
    { ...sound, latencyMs: -1 },
    { ...sound, queuedPerSlot: -1 },
  ];
  const reporters = createReporters(processClocks);
  await createResponder({ leader: () => leader, directory, reporters })(
    report({
      capacity: Infinity,
      servedByStore: true,
      knownEpoch: 2n,
      waitMs: 1,
      services: [
        { service: 's', keys: [1, 65_535, 65_536, 4_000_000_000], servers: [sound, ...odd] },
      ],
      leaving: [
        { server: 'a', startedMs: 2n ** 63n - 1n },
        { server: 'b', startedMs: 7n },
      ],
    }),
  );
  expect(loads.map((it) => [it.keys, it.servers.length])).toEqual([[[1, 65_535], 1]]);
  expect(left).toEqual([{ server: 'b', startedMs: 7 }]);
  expect(reporters.strongest()?.capacity).toEqual(0);
});

// Guards against routers that all move their subsets at each change of the leader.
test('an answer names the position of the reporting router only if the leader knows it', async () => {
  const positionOf = (router: { readonly place: string }) =>
    router.place === 'r/z' ? 4 : undefined;
  const respond = createResponder({ positionOf });
  expect((await respond(report({ place: 'r/z', waitMs: 1 }))).position).toEqual(4);
  expect((await respond(report({ place: 'r/y', waitMs: 1 }))).position).toEqual(undefined);
});

// Guards against a leader that answers all reports whenever a server writes its entry.
test('heartbeats of servers wait for the answer that is due anyway', async () => {
  const respond = createResponder({
    directory: { ...changedRegistry(100), hasNewsSince: () => false },
  });
  const startedAt = performance.now();
  const reply = await respond(report({ knownServers: 8n, waitMs: 80 }));
  expect(performance.now() - startedAt).toBeGreaterThan(70);
  expect(reply.servers?.version).toEqual(9n);
});
