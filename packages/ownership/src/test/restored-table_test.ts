import { test } from 'node:test';
import { setImmediate as eventLoopTurn } from 'node:timers/promises';

import { expect } from 'earl';

import { assignRoles } from '../lib/keeper-roles.js';
import { createRoleHolder } from '../lib/role-holder.js';
import { createRowStore } from '../lib/row-store.js';
import { type RegressedRow, createRowSync } from '../lib/row-sync.js';
import { createRowWriter } from '../lib/row-writer.js';
import { type ShardChange, createShardMover } from '../lib/shard-mover.js';
import {
  ASSIGN_KEY,
  FIRST_EPOCH,
  KEEPER_KEY,
  SUCCESSORS,
  Scenario,
  role,
  waitUntil,
} from './fake-context.js';
import type { FakeTable } from './fake-table.js';

const KEEPER = { acting: role('r1', 1), nextEpoch: 2 };
/** Number of transactions after which a test ends a write that is repeated without a pause. */
const MAX_TRANSACTIONS = 1_000;
/** Even, as the epochs that a keeper without this knowledge would try one after another. */
const FORGOTTEN_KEEPER_EPOCH = 8;
const NEVER_ABORTED = new AbortController().signal;

function moveOfShard0(to: string): ShardChange {
  const reason = 'test';
  return { shard: 0, from: 's1', to, epoch: FIRST_EPOCH + 2, successor: '', reason };
}

/** A further router, which knows nothing yet. */
function createRouter({ ctx }: Scenario, table: FakeTable, id: string) {
  const regressed: RegressedRow[] = [];
  const rows = createRowStore(ctx.hasher, () => undefined);
  const sync = createRowSync(table, rows, (found) => regressed.push(...found));
  const writer = createRowWriter(table, rows);
  return { rows, sync, regressed, writer, mover: createShardMover(rows, writer, id) };
}

async function record(router: ReturnType<typeof createRouter>, change: ShardChange) {
  const keeper = router.rows.keeper(KEEPER_KEY);
  if (keeper === undefined) throw new Error('the keeper row is not known');
  const recorded = await router.mover.record('svc', keeper, [change], NEVER_ABORTED);
  expect(recorded.isOk()).toEqual(true);
}

/** Two routers that know all rows; the first has then recorded a move that the table forgot. */
async function forgetMove(scenario: Scenario) {
  const { table } = scenario;
  const [first, second] = [
    createRouter(scenario, table, 'r1'),
    createRouter(scenario, table, 'r2'),
  ];
  await first.sync.poll();
  await second.sync.poll();
  const restore = table.takeCopy();
  await record(first, moveOfShard0('s2'));
  const acknowledged = table.rows.get(ASSIGN_KEY);
  restore();
  return { first, second, acknowledged };
}

// Routers that knew the move expected its version for ever, and could record nothing any more.
test('a move that the table forgot is written back as it was acknowledged', async () => {
  await using scenario = await Scenario.create({ keeper: KEEPER });
  scenario.run();
  const { first, acknowledged } = await forgetMove(scenario);
  expect(await first.sync.poll()).toEqual('forgetful');
  expect(first.regressed).toEqual([
    { key: ASSIGN_KEY, kind: 'forgotten', knownVersion: 2, foundVersion: 1 },
  ]);
  expect(scenario.table.rows.get(ASSIGN_KEY)).toEqual(acknowledged);
  expect(await first.sync.poll()).toEqual('complete');
  const { epoch, owner } = first.rows.assign(ASSIGN_KEY)?.value.shards[0] ?? {};
  expect({ epoch, owner }).toEqual({ epoch: FIRST_EPOCH + 2, owner: 's2' });
});

// Several lost versions of rows that are gone altogether were never written again.
test('rows that are gone altogether are written back with their versions', async () => {
  await using scenario = await Scenario.create({ keeper: KEEPER });
  scenario.run();
  const { table } = scenario;
  const router = createRouter(scenario, table, 'r1');
  await router.sync.poll();
  await record(router, moveOfShard0('s2'));
  const acknowledged = new Map(table.rows);
  table.rows.clear();
  expect(await router.sync.poll()).toEqual('forgetful');
  expect(table.rows).toEqual(acknowledged);
});

test('two routers that know different versions write back the newer one', async () => {
  await using scenario = await Scenario.create({ keeper: KEEPER });
  scenario.run();
  const { table } = scenario;
  const restore = table.takeCopy();
  const [first, second] = [
    createRouter(scenario, table, 'r1'),
    createRouter(scenario, table, 'r2'),
  ];
  await first.sync.poll();
  await record(first, moveOfShard0('s2'));
  await second.sync.poll();
  await record(first, { ...moveOfShard0('s2'), shard: 1 });
  const acknowledged = table.rows.get(ASSIGN_KEY);
  restore();
  await Promise.all([first.sync.poll(), second.sync.poll()]);
  await first.sync.poll();
  expect(table.rows.get(ASSIGN_KEY)).toEqual(acknowledged);
  await second.sync.poll();
  expect(await second.sync.poll()).toEqual('complete');
  expect(second.rows.digest()).toEqual(first.rows.digest());
});

// A router that knew a higher epoch took a newer version with a lower one, and went back.
test('a router never goes back to lower epochs, whatever version they have', async () => {
  await using scenario = await Scenario.create({ keeper: KEEPER });
  scenario.run();
  const { first, second } = await forgetMove(scenario);
  for (const shard of [1, 2]) await record(second, { ...moveOfShard0('s3'), shard });
  expect(await first.sync.poll()).toEqual('forgetful');
  expect(first.regressed.map((it) => it.kind)).toEqual(['other-history']);
  expect(first.rows.assign(ASSIGN_KEY)?.value.shards[0]?.owner).toEqual('s2');
  expect(await first.sync.poll()).toEqual('forgetful');
});

// Not promised: shows what happens when a router that knows less decides before those that know more.
test('an epoch is given out twice by a router that knows nothing of the first time', async () => {
  await using scenario = await Scenario.create({ keeper: KEEPER });
  scenario.run();
  const { first, second } = await forgetMove(scenario);
  await record(second, moveOfShard0('s3'));
  const [a, b] = [first, second].map((it) => it.rows.assign(ASSIGN_KEY)?.value.shards[0]);
  expect([a?.owner, b?.owner]).toEqual(['s2', 's3']);
  expect(a?.epoch).toEqual(b?.epoch);
  expect(await first.sync.poll()).toEqual('forgetful');
  expect(first.regressed).toEqual([
    { key: ASSIGN_KEY, kind: 'other-history', knownVersion: 2, foundVersion: 2 },
  ]);
});

// Not promised: as above, for the epoch of a keeper.
test('a keeper epoch is given out twice by a router that knows nothing of the first time', async () => {
  await using scenario = await Scenario.create({ keeper: KEEPER });
  scenario.run();
  const { ctx, table } = scenario;
  const server = ctx.map.server('s1')?.server;
  if (server === undefined) throw new Error('s1 is not known');
  const restore = table.takeCopy();
  const epochs = [];
  for (const id of ['r1', 'r2']) {
    const { rows, sync, writer } = createRouter(scenario, table, id);
    restore();
    await sync.poll();
    const row = rows.keeper(KEEPER_KEY);
    const value = assignRoles(ctx, 'svc', server, ctx.membership.self, row?.value);
    const change = { key: KEEPER_KEY, expectedVersion: row?.version ?? 0, value };
    expect((await writer.write([change], NEVER_ABORTED)).isOk()).toEqual(true);
    epochs.push(rows.keeper(KEEPER_KEY)?.value.acting.epoch);
  }
  expect(epochs).toEqual([2, 2]);
});

// Versions of a row that was written back say nothing about who acted in between.
test('a keeper whose epochs jump takes nothing for known about the time in between', async () => {
  await using scenario = await Scenario.create({ keeper: KEEPER });
  scenario.run();
  const { ctx } = scenario;
  const holder = createRoleHolder(ctx, 's1');
  const row = ctx.map.keeper('s1');
  if (row === undefined) throw new Error('the keeper row is not known');
  const held = holder.acquire(row);
  void held?.renewer.renew({
    address: '127.0.0.1:1',
    leaseMs: 60,
    timeoutMs: 60,
    grants: [],
    release: [],
  });
  await waitUntil(
    'the server accepts the epoch',
    () => held?.renewer.hasFenced('start-1') === true,
  );
  const jumped = { ...row.value, acting: role('r1', 4), nextEpoch: 5 };
  const next = holder.acquire({ ...row, version: row.version + 1, value: jumped });
  expect(next?.otherRenewer).toEqual('not-known');
  expect(holder.mayHaveUnrecordedMoves()).toEqual(true);
});

// A keeper that was healthy could not move shards any more once the table had forgotten its row.
test('shards of a lost server move although the table forgot the rows of their keeper', async () => {
  await using scenario = await Scenario.create({ keeper: KEEPER });
  const { ctx, table, server } = scenario;
  const sync = createRowSync(table, ctx.rows, () => undefined);
  await scenario.runUntilHeld();
  const versionBefore = table.rows.get(KEEPER_KEY)?.version ?? 0;
  table.put(KEEPER_KEY, scenario.keeperRow());
  const restore = table.takeCopy();
  table.put(KEEPER_KEY, scenario.keeperRow());
  await ctx.writer.refresh([KEEPER_KEY]);
  restore();
  server.mode = 'unreachable';
  await sync.poll();
  await waitUntil('the shards are at their successors', () =>
    scenario.isRecordedAtSuccessors(FIRST_EPOCH + 1),
  );
  expect(table.rows.get(KEEPER_KEY)?.version).toEqual(versionBefore + 2);
  expect(scenario.recorded().map((it) => it.owner)).toEqual(SUCCESSORS);
});

// The write was repeated without a pause for as long as the table lacked the row: a processor and the
// table were kept busy, and timers never ran.
test('a move whose rows the table forgot is tried again at an interval', async () => {
  await using scenario = await Scenario.create({ keeper: KEEPER });
  scenario.run();
  const { table } = scenario;
  const router = createRouter(scenario, table, 'r1');
  await router.sync.poll();
  table.rows.delete(ASSIGN_KEY);
  const stopping = new AbortController();
  const transact = table.transact.bind(table);
  let transactions = 0;
  table.transact = (writes) => {
    transactions += 1;
    if (transactions === MAX_TRANSACTIONS) stopping.abort();
    return transact(writes);
  };
  const keeper = router.rows.keeper(KEEPER_KEY);
  if (keeper === undefined) throw new Error('the keeper row is not known');
  const recording = router.mover.record('svc', keeper, [moveOfShard0('s2')], stopping.signal);
  await eventLoopTurn();
  stopping.abort();
  await recording;
  expect(transactions < MAX_TRANSACTIONS).toEqual(true);
});

// Guards against a keeper epoch that the backend server has seen from a keeper whose row was lost.
test('a refused keeper takes an epoch above the one that the backend server has seen', async () => {
  await using scenario = await Scenario.create({ keeper: KEEPER });
  const { server } = scenario;
  server.keeperEpoch = FORGOTTEN_KEEPER_EPOCH;
  scenario.run();
  const accepted = () => server.received.filter((it) => it.accepted);
  await waitUntil('the server accepts renewals', () => accepted().length > 2);
  expect([...new Set(accepted().map((it) => it.req.keeperEpoch))]).toEqual([
    FORGOTTEN_KEEPER_EPOCH + 1,
  ]);
  expect(scenario.keeperRow().acting.epoch).toEqual(FORGOTTEN_KEEPER_EPOCH + 1);
});
