import { test } from 'node:test';

import { expect } from 'earl';

import { monotonicMs } from '../lib/pause.js';
import {
  ASSIGN_KEY,
  FIRST_EPOCH,
  KEEPER_KEY,
  LEASE,
  SHARDS,
  SUCCESSORS,
  Scenario,
  isMove,
  role,
  waitUntil,
} from './fake-context.js';

const WITHOUT_STANDBY = { acting: role('r1', 1), nextEpoch: 2 };
const WITH_STANDBY = { acting: role('r1', 1), standby: role('r2', 2), nextEpoch: 3 };
/** Long enough that a test with the table down never reaches its end. */
const LONG_TENURE_MS = 60_000;

test('a lost owner’s shards go to the stored successor once its lease has lapsed', async () => {
  await using scenario = await Scenario.create({ keeper: WITH_STANDBY });
  scenario.startHeartbeats('r2');
  const leaseLeftAtWrite: number[] = [];
  scenario.table.onCommit = (writes) => {
    if (isMove(writes)) leaseLeftAtWrite.push(scenario.server.leaseEndsAt - monotonicMs());
  };
  await scenario.runUntilHeld();
  scenario.server.mode = 'answers-lost';
  await waitUntil('the move is recorded', () => scenario.isRecordedAtSuccessors(FIRST_EPOCH + 1));
  expect(leaseLeftAtWrite.length).toEqual(1);
  expect(leaseLeftAtWrite.every((ms) => ms <= 0)).toEqual(true);
});

test('nothing moves before an unreachable standby was removed and its tenure is over', async () => {
  await using scenario = await Scenario.create({ keeper: WITH_STANDBY });
  scenario.startHeartbeats('r2');
  scenario.peers.standby = undefined;
  const commits: {
    readonly key: string;
    readonly at: number;
    readonly standby: string | undefined;
  }[] = [];
  scenario.table.onCommit = (writes) => {
    const standby = scenario.keeperRow().standby?.router;
    const written = writes.filter(({ value }) => value !== undefined);
    for (const { key } of written) commits.push({ key, at: monotonicMs(), standby });
  };
  await scenario.runUntilHeld();
  scenario.stopHeartbeats('r2');
  scenario.ctx.membership.connectionLost('r2');
  scenario.server.mode = 'unreachable';
  await waitUntil('the move is recorded', () => scenario.isRecordedAtSuccessors(FIRST_EPOCH + 1));
  expect(commits.map(({ key }) => key)).toEqual([KEEPER_KEY, ASSIGN_KEY]);
  const [removal, move] = commits;
  expect(move?.standby).toEqual(undefined);
  const waitedMs = (move?.at ?? 0) - (removal?.at ?? 0);
  expect(waitedMs >= LEASE.tenureMs).toEqual(true);
});

test('with the table down nothing moves while one peer refuses its promise', async () => {
  await using scenario = await Scenario.create({
    keeper: WITHOUT_STANDBY,
    tenureMs: LONG_TENURE_MS,
  });
  await scenario.runUntilHeld();
  scenario.table.mode = 'down';
  scenario.server.mode = 'unreachable';
  await waitUntil('the peers were asked again', () => scenario.peers.standDownRounds >= 4);
  expect(scenario.ctx.map.unrecorded()).toEqual([]);
  expect(scenario.ctx.map.ownedBy('svc', 's1').length).toEqual(SHARDS.length);
});

test('with all promises shards move unrecorded, and the same moves are recorded later', async () => {
  await using scenario = await Scenario.create({
    keeper: WITHOUT_STANDBY,
    tenureMs: LONG_TENURE_MS,
  });
  await scenario.runUntilHeld();
  scenario.table.mode = 'down';
  scenario.server.mode = 'answers-lost';
  await waitUntil('the peers were asked', () => scenario.peers.standDownRounds >= 1);
  scenario.peers.allPromise = true;
  await waitUntil('the shards have moved', () => scenario.ctx.map.unrecorded().length > 0);
  expect(scenario.server.leaseEndsAt <= monotonicMs()).toEqual(true);
  const expected = SUCCESSORS.map((owner, shard) => ({
    service: 'svc',
    shard,
    owner,
    epoch: FIRST_EPOCH + 1,
  }));
  expect(scenario.ctx.map.unrecorded()).toEqual(expected);
  expect(scenario.isRecordedAtOwner(FIRST_EPOCH)).toEqual(true);
  scenario.table.mode = 'up';
  await waitUntil('the move is recorded', () => scenario.isRecordedAtSuccessors(FIRST_EPOCH + 1));
});
