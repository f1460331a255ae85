import { test } from 'node:test';

import { expect } from 'earl';

import { monotonicMs } from '../lib/pause.js';
import { FIRST_EPOCH, KEEPER_KEY, SHARDS, Scenario, isMove, seat, until } from './fake-context.js';

const ALONE = { acting: seat('r1', 1), nextEpoch: 2 };
const LATER_KEEPER = { acting: seat('r1', 3), nextEpoch: 4 };
const NEW_START = 'start-2';
const STEP_TO_RECORDED = 2;

test('a later keeper that finds the lease lapsed completes the authorised moves', async () => {
  await using it = await Scenario.create({ keeper: LATER_KEEPER });
  it.run();
  await until('the moves are recorded', () => it.isRecordedAtSuccessors(FIRST_EPOCH + 1));
  await it.turns();
  expect(it.server.seen.flatMap((seen) => seen.req.grants)).toEqual([]);
});

test('a later keeper leaves shards that are held under a live lease where they are', async () => {
  await using it = await Scenario.create({ keeper: LATER_KEEPER });
  const shards = SHARDS.map((shard) => ({ service: 'svc', shard, epoch: FIRST_EPOCH }));
  const req = { keeper: 'r0', keeperEpoch: 1, leaseMs: 60_000, grants: shards, release: [] };
  const { start, sequence } = it.server.answer({ ...req, grants: [] });
  it.server.answer({ ...req, echo: { start, sequence } });
  const seenBefore = it.server.seen.length;
  it.run();
  const granted = () => it.server.seen.slice(seenBefore).flatMap((seen) => seen.req.grants);
  await until('the keeper grants', () => granted().length > 0);
  expect(it.isRecordedAtOwner(FIRST_EPOCH)).toEqual(true);
  expect(granted().every((grant) => grant.epoch === FIRST_EPOCH)).toEqual(true);
});

test('a new start gets no grant before its shards have new epochs in the table', async () => {
  await using it = await Scenario.create({ keeper: ALONE });
  await it.runUntilHeld();
  const commits: string[] = [];
  let leaseLeftAtMove = Infinity;
  it.table.onCommit = (writes) => {
    if (isMove(writes)) leaseLeftAtMove = it.server.leaseEndsAt - monotonicMs();
    const isKeeperWrite = writes.some(
      ({ key, value }) => key === KEEPER_KEY && value !== undefined,
    );
    const grantCount = it.server.granted(NEW_START).length;
    if (isMove(writes)) commits.push(`shards after ${grantCount} grants`);
    if (isKeeperWrite) commits.push(`start after ${grantCount} grants`);
  };
  it.server.restart(NEW_START);
  await until('the new start holds all', () => it.server.held().length === SHARDS.length);
  expect(commits).toEqual(['shards after 0 grants', 'start after 0 grants']);
  expect(leaseLeftAtMove <= 0).toEqual(true);
  expect(it.isRecordedAtOwner(FIRST_EPOCH + STEP_TO_RECORDED)).toEqual(true);
  expect(it.keeperRow().serverStart).toEqual(NEW_START);
  const epochs = new Set(it.server.granted(NEW_START).map((grant) => grant.epoch));
  expect([...epochs]).toEqual([FIRST_EPOCH + STEP_TO_RECORDED]);
});

test('a new start gets no grant while the lapse of the earlier lease is not proved', async () => {
  const standby = seat('r2', 2);
  await using it = await Scenario.create({ keeper: { ...ALONE, standby, nextEpoch: 3 } });
  it.beat('r2');
  await it.runUntilHeld();
  it.peers.standby = undefined;
  it.silence('r2');
  it.ctx.membership.connectionLost('r2');
  it.server.restart(NEW_START);
  await until('the new start holds all', () => it.server.held().length === SHARDS.length);
  const epochs = new Set(it.server.granted(NEW_START).map((grant) => grant.epoch));
  expect([...epochs]).toEqual([FIRST_EPOCH + STEP_TO_RECORDED]);
});
