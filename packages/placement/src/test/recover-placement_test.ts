import { test } from 'node:test';

import { inEra } from '@boragepoint/platform';
import { expect } from 'earl';

import { endByAnswer } from '../lib/end-proof.js';
import { LEADER_LEASE_MS, RENEWAL_GRACE_MS } from '../lib/leader-lease.js';
import type { FormerLeaderAnswer } from '../lib/former-leader.js';
import type { FetchedPlacement } from '../lib/leader-messages.js';
import type { Placement } from '../lib/placement-record.js';
import {
  MAX_UNANSWERED_GRANT_MS,
  type RecoverOptions,
  recoverPlacement,
} from '../lib/recover-placement.js';
import type { StoppedLeader } from '../lib/stopped-leader.js';
import { createFakeClocks } from './fake-clocks.js';
import { createFakeDirectory, incarnationOf } from './fake-directory.js';

const ERA = 2;
const COPY_EPOCH = 3;
const LATER_EPOCH = 5;
/** Time after which a leader that is silent can't have granted any lease that lasts. */
const SILENT_MS = LEADER_LEASE_MS + RENEWAL_GRACE_MS + MAX_UNANSWERED_GRANT_MS;

const placementOf = (epoch: number, owner: string): Placement => ({
  leaderLease: {
    router: 'old',
    address: 'old:1',
    startedMs: 1,
    epoch,
    untilMs: 0,
    handedOver: false,
    unansweredForMs: 0,
    successor: '',
  },
  version: 1,
  change: 1,
  nextFence: 9,
  services: new Map([
    [
      's',
      [
        {
          first: 0,
          last: 65_535,
          owner: { incarnation: incarnationOf(owner), fence: 4, settled: true },
          former: [],
        },
      ],
    ],
  ]),
  suspects: [],
  peers: [],
});

const viewOf = (epoch: number, owner: string, granted = true) => ({
  epoch,
  change: 1,
  services: new Map([['s', [{ first: 0, last: 65_535, owner, granted }]]]),
});

const fetched = (epoch: number, owner: string, isWitness: boolean): FetchedPlacement => ({
  view: viewOf(epoch, owner),
  leader: { address: 'leader:1', epoch },
  isWitness,
  heardAgoMs: 0,
});

const stoppedLeader = (epoch: number, isLast: boolean, lapsedForMs = 0): StoppedLeader => ({
  placement: placementOf(epoch, 'a'),
  unansweredForMs: 700,
  storeNowMs: 50,
  isLast,
  lapsedForMs,
});

interface Known extends Partial<RecoverOptions> {
  /** What each other router answers. */
  readonly others?: readonly (FetchedPlacement | undefined)[];
  readonly stepDown?: FormerLeaderAnswer;
  /** Time for which the leader has been known to have ended, in milliseconds. */
  readonly goneForMs?: number;
}

const LEADER_LIFE = { id: 'leader', address: 'leader:1', startedMs: 1 };
const GONE: FormerLeaderAnswer = { kind: 'gone', proof: endByAnswer(LEADER_LIFE, 'gone', 0) };

function recover(known: Known) {
  const { others = [], stepDown = { kind: 'silent' }, goneForMs = 0, ...options } = known;
  const clocks = createFakeClocks();
  const copy = placementOf(COPY_EPOCH, 'b');
  return recoverPlacement({
    reading: {
      era: ERA,
      placement: undefined,
      copy,
      rowVersion: inEra(ERA, 0),
      storeNowMs: 0,
      askedAt: 0,
      receivedAt: 0,
    },
    unclaimedForMs: 0,
    self: { router: 'self', address: 'self:1', startedMs: 1 },
    view: undefined,
    isWitness: false,
    heardAgoMs: Infinity,
    leader: undefined,
    stopped: undefined,
    addresses: others.map((_, index) => String(index)),
    peers: { fetchPlacement: (address) => Promise.resolve(others[Number(address)]) },
    requestStepDown: () => Promise.resolve(stepDown),
    directory: createFakeDirectory(['a', 'b']),
    clocks,
    onFound: () => undefined,
    noteStepDown: (_epoch, answer) => (answer === 'silent' ? 0 : goneForMs),
    ...options,
  });
}

const ownerIn = (placement: Placement | undefined) =>
  placement?.services.get('s')?.[0]?.owner?.incarnation.server;

// Guards against the copy's owners being granted keys that others hold since.
test('the copy is used only when the longest lease that it may lack has ended', async () => {
  const early = { stepDown: GONE, goneForMs: MAX_UNANSWERED_GRANT_MS - 1, unclaimedForMs: 60 };
  expect(await recover(early)).toEqual(undefined);
  const recovered = await recover({ ...early, goneForMs: MAX_UNANSWERED_GRANT_MS });
  expect(recovered?.source).toEqual('copy');
  expect(recovered?.leasesEnded).toEqual(true);
  expect(ownerIn(recovered?.placement)).toEqual('b');
});

// Guards against the leader of the copy, which is cut off from the store and renews leases.
test('the copy of a leader that is silent is used only when its renewals have ended', async () => {
  expect(await recover({ unclaimedForMs: SILENT_MS - 1 })).toEqual(undefined);
  expect((await recover({ unclaimedForMs: SILENT_MS }))?.source).toEqual('copy');
});

test('an own view that is older than the copy counts for nothing', async () => {
  const view = viewOf(COPY_EPOCH - 1, 'a');
  expect(await recover({ view, isWitness: true, unclaimedForMs: LEADER_LEASE_MS })).toEqual(
    undefined,
  );
});

test('the exact state of the last leader is used at once', async () => {
  const view = viewOf(LATER_EPOCH, 'a');
  const own = await recover({ view, stopped: stoppedLeader(LATER_EPOCH, true) });
  expect(own?.source).toEqual('stopped leader');
  expect(own?.inheritedForMs).toEqual(700);
  const stopped = stoppedLeader(LATER_EPOCH, true);
  const others = [fetched(LATER_EPOCH, 'a', false)];
  const asked = await recover({
    others,
    stepDown: { kind: 'stopped', unansweredForMs: 700, stopped },
  });
  expect(asked?.source).toEqual('stopped leader');
});

// Guards against a leader that another one had followed, in the time that the store forgot.
test('the state of a leader that another one may have followed is not taken as exact', async () => {
  const view = viewOf(LATER_EPOCH, 'a');
  expect(await recover({ view, stopped: stoppedLeader(LATER_EPOCH, false) })).toEqual(undefined);
  const older = await recover({
    stopped: stoppedLeader(LATER_EPOCH, true),
    others: [fetched(LATER_EPOCH + 1, 'b', true)],
    unclaimedForMs: LEADER_LEASE_MS,
  });
  expect(older?.source).toEqual('routers');
  expect(ownerIn(older?.placement)).toEqual('b');
});

// Guards against a leader that led in the time that the store forgot, after this one's lease had
// expired.
test('the state of a leader counts as exact only if its lease expired after the return', async () => {
  const view = viewOf(LATER_EPOCH, 'a');
  const stopped = stoppedLeader(LATER_EPOCH, true, 500);
  expect(await recover({ view, stopped, unclaimedForMs: 499 })).toEqual(undefined);
  const recovered = await recover({ view, stopped, unclaimedForMs: 500 });
  expect(recovered?.source).toEqual('stopped leader');
});

// Guards against a router that claims the era of a leader that is about to claim it.
test('a view is used only after the time in which a living leader claims the era', async () => {
  const others = [fetched(LATER_EPOCH, 'a', true)];
  expect(await recover({ others, unclaimedForMs: LEADER_LEASE_MS - 1 })).toEqual(undefined);
  const recovered = await recover({ others, unclaimedForMs: LEADER_LEASE_MS });
  expect(recovered?.source).toEqual('routers');
  expect(recovered?.placement?.isUnverified).toEqual(true);
  expect(recovered?.leasesEnded).toEqual(false);
});

// Guards against a move that the leader ordered and no living router has heard of, also by a leader
// that renewed leases until it ended just now.
test('a view without a witness is used only when all leases of its leader have ended', async () => {
  const others = [{ ...fetched(LATER_EPOCH, 'a', false), heardAgoMs: 60_000 }];
  const gone = { others, stepDown: GONE, unclaimedForMs: 12_000 };
  const early = await recover({ ...gone, goneForMs: MAX_UNANSWERED_GRANT_MS - 1 });
  expect(early).toEqual(undefined);
  const late = await recover({ ...gone, goneForMs: MAX_UNANSWERED_GRANT_MS });
  expect(late?.leasesEnded).toEqual(true);
  expect(await recover({ others, unclaimedForMs: SILENT_MS - 1 })).toEqual(undefined);
  expect((await recover({ others, unclaimedForMs: SILENT_MS }))?.leasesEnded).toEqual(true);
  const heard = [fetched(LATER_EPOCH, 'a', false)];
  expect(await recover({ others: heard, unclaimedForMs: SILENT_MS })).toEqual(undefined);
});

// Guards against a claimant that stops the leader which has claimed the same era meanwhile.
test('an era that a leader has claimed since the row was read is not claimed', async () => {
  const others = [fetched(inEra(ERA, 1), 'a', true)];
  expect(await recover({ others, stepDown: GONE, unclaimedForMs: 60_000 })).toEqual(undefined);
});

// Guards against a former owner that may still hold a range whose hand-over was under way.
test('a range that was handed over waits for its former owner, which no view names', async () => {
  const others = [{ ...fetched(LATER_EPOCH, 'a', true), view: viewOf(LATER_EPOCH, 'a', false) }];
  const recovered = await recover({ others, unclaimedForMs: LEADER_LEASE_MS });
  const range = recovered?.placement?.services.get('s')?.[0];
  expect(range?.owner?.incarnation.server).toEqual('a');
  expect(range?.former.length).toEqual(1);
  expect(recovered?.inheritedForMs).toEqual(SILENT_MS);
});

test('an owner without a registry entry keeps its range from others', async () => {
  const others = [fetched(LATER_EPOCH, 'unknown', true)];
  const recovered = await recover({ others, unclaimedForMs: LEADER_LEASE_MS });
  const range = recovered?.placement?.services.get('s')?.[0];
  expect(range?.owner).toEqual(undefined);
  expect(range?.former.length).toEqual(1);
});

test('the newest view of all routers is found, and what one of them knows of its leader', async () => {
  const found: FetchedPlacement[] = [];
  await recover({
    view: viewOf(LATER_EPOCH, 'a'),
    others: [undefined, fetched(LATER_EPOCH + 1, 'b', false), fetched(LATER_EPOCH + 1, 'b', true)],
    onFound: (it) => found.push(it),
  });
  expect(found.map((it) => [it.view.epoch, it.isWitness])).toEqual([[LATER_EPOCH + 1, true]]);
});
