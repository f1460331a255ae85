import { test } from 'node:test';

import { expect } from 'earl';

import { monotonicMs } from '../lib/pause.js';
import {
  FIRST_EPOCH,
  KEEPER_KEY,
  SHARDS,
  Scenario,
  isMove,
  role,
  waitUntil,
} from './fake-context.js';

const WITHOUT_STANDBY = { acting: role('r1', 1), nextEpoch: 2 };
const LATER_KEEPER = { acting: role('r1', 3), nextEpoch: 4 };
const NEW_INCARNATION = 'start-2';
const RECORDED_EPOCH_STEP = 2;

test('a later keeper that finds the lease lapsed completes the authorised moves', async () => {
  await using scenario = await Scenario.create({ keeper: LATER_KEEPER });
  scenario.run();
  await waitUntil('the moves are recorded', () => scenario.isRecordedAtSuccessors(FIRST_EPOCH + 1));
  await scenario.nextIterations();
  expect(scenario.server.received.flatMap((renewal) => renewal.req.grants)).toEqual([]);
});

test('a later keeper leaves shards that are held under a live lease where they are', async () => {
  await using scenario = await Scenario.create({ keeper: LATER_KEEPER });
  const shards = SHARDS.map((shard) => ({ service: 'svc', shard, epoch: FIRST_EPOCH }));
  const req = { keeper: 'r0', keeperEpoch: 1, leaseMs: 60_000, grants: shards, release: [] };
  const { start, sequence } = scenario.server.answer({ ...req, grants: [] });
  scenario.server.answer({ ...req, echo: { start, sequence } });
  const receivedBefore = scenario.server.received.length;
  scenario.run();
  const granted = () =>
    scenario.server.received.slice(receivedBefore).flatMap((renewal) => renewal.req.grants);
  await waitUntil('the keeper grants', () => granted().length > 0);
  expect(scenario.isRecordedAtOwner(FIRST_EPOCH)).toEqual(true);
  expect(granted().every((grant) => grant.epoch === FIRST_EPOCH)).toEqual(true);
});

test('a new incarnation gets no grant before its shards have new epochs in the table', async () => {
  await using scenario = await Scenario.create({ keeper: WITHOUT_STANDBY });
  await scenario.runUntilHeld();
  const commits: string[] = [];
  let leaseLeftAtMove = Infinity;
  scenario.table.onCommit = (writes) => {
    if (isMove(writes)) leaseLeftAtMove = scenario.server.leaseEndsAt - monotonicMs();
    const isKeeperWrite = writes.some(
      ({ key, value }) => key === KEEPER_KEY && value !== undefined,
    );
    const grantCount = scenario.server.granted(NEW_INCARNATION).length;
    if (isMove(writes)) commits.push(`shards after ${grantCount} grants`);
    if (isKeeperWrite) commits.push(`keeper row after ${grantCount} grants`);
  };
  scenario.server.restart(NEW_INCARNATION);
  await waitUntil(
    'the new incarnation holds all shards',
    () => scenario.server.held().length === SHARDS.length,
  );
  expect(commits).toEqual(['shards after 0 grants', 'keeper row after 0 grants']);
  expect(leaseLeftAtMove <= 0).toEqual(true);
  expect(scenario.isRecordedAtOwner(FIRST_EPOCH + RECORDED_EPOCH_STEP)).toEqual(true);
  expect(scenario.keeperRow().serverStart).toEqual(NEW_INCARNATION);
  const epochs = new Set(scenario.server.granted(NEW_INCARNATION).map((grant) => grant.epoch));
  expect([...epochs]).toEqual([FIRST_EPOCH + RECORDED_EPOCH_STEP]);
});

test('a new incarnation gets no grant until the earlier lease is proved to have lapsed', async () => {
  const standby = role('r2', 2);
  await using scenario = await Scenario.create({
    keeper: { ...WITHOUT_STANDBY, standby, nextEpoch: 3 },
  });
  scenario.startHeartbeats('r2');
  await scenario.runUntilHeld();
  scenario.peers.standby = undefined;
  scenario.stopHeartbeats('r2');
  scenario.ctx.membership.connectionLost('r2');
  scenario.server.restart(NEW_INCARNATION);
  await waitUntil(
    'the new incarnation holds all shards',
    () => scenario.server.held().length === SHARDS.length,
  );
  const epochs = new Set(scenario.server.granted(NEW_INCARNATION).map((grant) => grant.epoch));
  expect([...epochs]).toEqual([FIRST_EPOCH + RECORDED_EPOCH_STEP]);
});
