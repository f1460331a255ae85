import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'earl';

import { LEADER_LEASE_MS, createLeaderLease, readLeaderLease } from '../lib/leader-lease.js';
import { type PlacementMemberOptions, createPlacementMember } from '../lib/placement-member.js';
import type { PlacementPeers } from '../lib/placement-peers.js';
import type { ReportAnswer } from '../lib/report-messages.js';
import { createServerLimits } from '../lib/server-limits.js';
import { createServerRates } from '../lib/server-rates.js';
import { createSuspectRecord } from '../lib/suspect-record.js';
import { processClocks } from '../lib/suspension-guard.js';
import { createFakeDirectory } from './fake-directory.js';
import { type FakeRowStore, createFakeRowStore } from './fake-row-store.js';
import { contentOf } from './row-content.js';

const SELF = { router: 'self', address: '10.0.0.2:1', startedMs: 2 };
const OTHER = { router: 'other', address: '10.0.0.1:1', startedMs: 1 };
const CAPACITY = 1;
/** Time in which a state has to be reached, in milliseconds. */
const WAIT_MS = 3_000;

/** Answer of a leader of three routers, which admits half of the requests to a server. */
const LEADER_ANSWER: ReportAnswer = {
  leads: true,
  view: { epoch: 1, change: 7, services: new Map() },
  isComplete: true,
  routers: 3,
  position: 2,
  suspects: [],
  knownSuspects: 0,
  admitted: { epoch: 1, shares: new Map([['i-1', 0.5]]), change: 1, isComplete: true },
  isLeaseExpired: false,
  peers: ['10.0.0.3:1'],
  witnesses: [],
  leader: undefined,
  tables: [{ table: 't', answers: true, version: 1, confirmedAt: 0 }],
  servers: undefined,
  limits: [],
  knownLimits: 0,
  startedMs: OTHER.startedMs,
};

/** Routers that do not answer, except as `answers` says. */
function fakePeers(answers: Partial<PlacementPeers>): PlacementPeers {
  return {
    report: () => Promise.resolve(undefined),
    fetchPlacement: () => Promise.resolve(undefined),
    notePlacement: () => Promise.resolve('silent'),
    requestStepDown: () => Promise.resolve({ kind: 'silent' }),
    shareSuspects: () => Promise.resolve(undefined),
    requestPermits: () => Promise.resolve(undefined),
    reachServer: () => Promise.resolve({ kind: 'unanswered' }),
    rowsSince: () => Promise.resolve(undefined),
    [Symbol.dispose]: () => undefined,
    ...answers,
  };
}

/** Starts a member; its clocks are those of the process. */
function startMember(store: FakeRowStore, answers: Partial<PlacementPeers> = {}) {
  const now = processClocks.monotonic;
  const directory = createFakeDirectory([]);
  const limits = createServerLimits(now);
  const tables: string[] = [];
  const options: PlacementMemberOptions = {
    self: SELF,
    place: 'r/z',
    capacity: CAPACITY,
    store,
    orders: {
      grant: () => Promise.resolve({ kind: 'unanswered' }),
      release: () => Promise.resolve({ kind: 'unanswered' }),
    },
    probeServer: () => Promise.resolve('unclear'),
    directory,
    peers: fakePeers(answers),
    clocks: processClocks,
    log: { info: () => undefined, warn: () => undefined },
    partitionedServices: () => [],
    objectiveMsOf: () => undefined,
    mayOwnKeys: () => true,
    takeLoad: () => [],
    suspects: createSuspectRecord(now),
    limits,
    rates: createServerRates({ limits, directory, warmUpPerS: () => undefined, now }),
    onLimitsLearned: () => undefined,
    tables: () => [],
    onTableReports(reports) {
      tables.push(...reports.map((it) => it.table));
    },
  };
  const [leading, following] = [new AbortController(), new AbortController()];
  const member = createPlacementMember(options);
  const ended = member.run(leading.signal, following.signal);
  async function stop(): Promise<void> {
    leading.abort();
    following.abort();
    await ended;
  }
  return { member, tables, stop };
}

const createStore = () => createFakeRowStore(() => processClocks.timeOfDay());

/** Writes the row of a leader in another router. */
async function writeLease(store: FakeRowStore, strongestCapacity?: number) {
  const reading = await readLeaderLease(store, processClocks);
  assert(reading);
  const lease = createLeaderLease({ store, clocks: processClocks, candidate: OTHER, reading });
  const content = {
    ...contentOf(1),
    ...(strongestCapacity !== undefined && { strongestCapacity }),
  };
  expect(await lease.write(content)).toEqual('committed');
}

async function reaches(isReached: () => boolean, waitMs = WAIT_MS): Promise<void> {
  const until = performance.now() + waitMs;
  while (!isReached() && performance.now() < until) await sleep(10);
  expect(isReached()).toEqual(true);
}

// Guards against a lone router that does not lead, or leaves others to wait for its lease to end.
test('a router acquires a free lease, leads, and hands the lease over when it stops', async () => {
  const store = createStore();
  const { member, stop } = startMember(store);
  expect(member.isCaughtUp()).toEqual(false);
  const changed = member.waitForChange(WAIT_MS);
  await reaches(() => member.isLeading());
  await changed;
  expect(member.isCaughtUp()).toEqual(true);
  expect(member.routers()).toEqual(1);
  expect(member.view().epoch).toEqual(1);
  expect(member.knownPlacement()?.leader?.address).toEqual(SELF.address);
  expect(await member.requestPermits([], true)).toEqual([]);
  const otherProcess = { epoch: 1, startedMs: 9, claimedEra: undefined };
  expect(member.answerStepDown(otherProcess)).toEqual('gone');
  await stop();
  expect(member.isLeading()).toEqual(false);
  const reading = await readLeaderLease(store, processClocks);
  expect(reading?.placement?.leaderLease.handedOver).toEqual(true);
});

// Guards against a router that follows a leader and passes by what it says.
test('a router follows the leader in the row and applies its answers', async () => {
  const store = createStore();
  await writeLease(store);
  const asked: string[] = [];
  const { member, tables, stop } = startMember(store, {
    async report(address) {
      asked.push(address);
      await sleep(10);
      return LEADER_ANSWER;
    },
  });
  await reaches(() => member.routers() === 3);
  expect(member.isLeading()).toEqual(false);
  expect(member.isCaughtUp()).toEqual(true);
  expect(member.position()).toEqual({ index: 2, routers: 3 });
  expect(member.admittedShare('i-1')).toEqual(0.5);
  expect(member.admittedShare('i-2')).toEqual(1);
  expect(member.view().change).toEqual(7);
  expect(new Set(tables)).toEqual(new Set(['t']));
  expect(new Set(asked)).toEqual(new Set([OTHER.address]));
  expect([OTHER.address, '10.0.0.3:1']).toInclude(member.anyPeer() ?? '');
  expect(await member.requestPermits([], true)).toEqual(undefined);
  await stop();
});

// Guards against a fleet whose leader ended and is not replaced, or forgets how strong others are.
test('a router leads when the lease of a silent leader ends, and keeps the stored capacity', async () => {
  const store = createStore();
  const strongest = CAPACITY * 4;
  await writeLease(store, strongest);
  const { member, stop } = startMember(store);
  await sleep(LEADER_LEASE_MS / 2);
  expect(member.isLeading()).toEqual(false);
  await reaches(() => member.isLeading(), LEADER_LEASE_MS + WAIT_MS);
  expect(member.view().epoch).toEqual(2);
  const reading = await readLeaderLease(store, processClocks);
  expect(reading?.placement?.strongestCapacity).toEqual(strongest);
  await stop();
});
