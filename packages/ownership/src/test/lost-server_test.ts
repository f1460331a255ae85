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
  seat,
  until,
} from './fake-context.js';

const ALONE = { acting: seat('r1', 1), nextEpoch: 2 };
const WITH_STANDBY = { acting: seat('r1', 1), standby: seat('r2', 2), nextEpoch: 3 };
/** Long enough that a test with the table down never reaches its end. */
const LONG_TENURE_MS = 60_000;

test('a lost owner’s shards go to the stored successor once its lease has lapsed', async () => {
  await using it = await Scenario.create({ keeper: WITH_STANDBY });
  it.beat('r2');
  const leaseLeftAtWrite: number[] = [];
  it.table.onCommit = (writes) => {
    if (isMove(writes)) leaseLeftAtWrite.push(it.server.leaseEndsAt - monotonicMs());
  };
  await it.runUntilHeld();
  it.server.mode = 'answers-lost';
  await until('the move is recorded', () => it.isRecordedAtSuccessors(FIRST_EPOCH + 1));
  expect(leaseLeftAtWrite.length).toEqual(1);
  expect(leaseLeftAtWrite.every((ms) => ms <= 0)).toEqual(true);
});

test('nothing moves before a silent standby has left the row and the tenure is over', async () => {
  await using it = await Scenario.create({ keeper: WITH_STANDBY });
  it.beat('r2');
  it.peers.standby = undefined;
  const commits: {
    readonly key: string;
    readonly at: number;
    readonly standby: string | undefined;
  }[] = [];
  it.table.onCommit = (writes) => {
    const standby = it.keeperRow().standby?.router;
    const written = writes.filter(({ value }) => value !== undefined);
    for (const { key } of written) commits.push({ key, at: monotonicMs(), standby });
  };
  await it.runUntilHeld();
  it.silence('r2');
  it.ctx.membership.connectionLost('r2');
  it.server.mode = 'mute';
  await until('the move is recorded', () => it.isRecordedAtSuccessors(FIRST_EPOCH + 1));
  expect(commits.map(({ key }) => key)).toEqual([KEEPER_KEY, ASSIGN_KEY]);
  const [removal, move] = commits;
  expect(move?.standby).toEqual(undefined);
  const waitedMs = (move?.at ?? 0) - (removal?.at ?? 0);
  expect(waitedMs >= LEASE.tenureMs).toEqual(true);
});

test('with the table down nothing moves while one peer refuses its promise', async () => {
  await using it = await Scenario.create({ keeper: ALONE, tenureMs: LONG_TENURE_MS });
  await it.runUntilHeld();
  it.table.mode = 'down';
  it.server.mode = 'mute';
  await until('the peers were asked again', () => it.peers.roundsAsked >= 4);
  expect(it.ctx.map.unrecorded()).toEqual([]);
  expect(it.ctx.map.ownedBy('svc', 's1').length).toEqual(SHARDS.length);
});

test('with all promises shards move without a record and are recorded alike later', async () => {
  await using it = await Scenario.create({ keeper: ALONE, tenureMs: LONG_TENURE_MS });
  await it.runUntilHeld();
  it.table.mode = 'down';
  it.server.mode = 'answers-lost';
  await until('the peers were asked', () => it.peers.roundsAsked >= 1);
  it.peers.everyonePromises = true;
  await until('the shards have moved', () => it.ctx.map.unrecorded().length > 0);
  expect(it.server.leaseEndsAt <= monotonicMs()).toEqual(true);
  const expected = SUCCESSORS.map((owner, shard) => ({
    service: 'svc',
    shard,
    owner,
    epoch: FIRST_EPOCH + 1,
  }));
  expect(it.ctx.map.unrecorded()).toEqual(expected);
  expect(it.isRecordedAtOwner(FIRST_EPOCH)).toEqual(true);
  it.table.mode = 'up';
  await until('the move is recorded', () => it.isRecordedAtSuccessors(FIRST_EPOCH + 1));
});
