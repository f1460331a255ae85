import { test } from 'node:test';

import { createHttpInstanceList, createHttpTableService } from '@boragepoint/platform';
import { expect } from 'earl';
import { Pool } from 'undici';

import { controlPlatform } from '../lib/harness/control-client.js';
import { listen } from '../lib/listen.js';
import { createPlatformApp } from '../lib/platform/app.js';

async function setUp() {
  const listener = await listen(createPlatformApp(), 0);
  const pool = new Pool(`http://${listener.address}`);
  return {
    address: listener.address,
    table: createHttpTableService(pool),
    instances: createHttpInstanceList(pool),
    async [Symbol.asyncDispose]() {
      await pool.destroy();
      await listener[Symbol.asyncDispose]();
    },
  };
}

test('a write whose answer is lost takes effect', async () => {
  await using context = await setUp();
  await controlPlatform(context.address, { loseNext: 1 });
  const outcome = await context.table.transact([{ key: 'a', expectedVersion: 0, value: '1' }]);
  expect(outcome.isErr() && outcome.error.mayHaveTakenEffect).toEqual(true);
  const rows = await context.table.read(['a']);
  expect(rows._unsafeUnwrap()).toEqual([{ key: 'a', version: 1, value: '1' }]);
});

test('a platform that is down refuses writes without effect', async () => {
  await using context = await setUp();
  await controlPlatform(context.address, { down: 'refuse' });
  const outcome = await context.table.transact([{ key: 'a', expectedVersion: 0, value: '1' }]);
  expect(outcome.isErr() && outcome.error.mayHaveTakenEffect).toEqual(false);
  await controlPlatform(context.address, { down: 'no' });
  expect((await context.table.scan(''))._unsafeUnwrap()).toEqual([]);
});

test('writes above the limit per second are refused', async () => {
  await using context = await setUp();
  await controlPlatform(context.address, { writesPerSecond: 0 });
  const outcome = await context.table.transact([{ key: 'a', expectedVersion: 0, value: '1' }]);
  expect(outcome.isErr()).toEqual(true);
});

test('a change of the instance list is visible after its lag', async () => {
  await using context = await setUp();
  const record = { id: 'a', role: 'router', state: 'live', address: '127.0.0.1:1' } as const;
  const instances = [{ ...record, availabilityZone: 'z', region: 'r' }];
  await controlPlatform(context.address, { instancesLagMs: 60_000, instances });
  expect((await context.instances.list())._unsafeUnwrap()).toEqual([]);
  await controlPlatform(context.address, { instancesLagMs: 0, instances });
  expect((await context.instances.list())._unsafeUnwrap()).toEqual(instances);
});

test('a table that was brought back from a copy gives out versions again', async () => {
  await using context = await setUp();
  await context.table.transact([{ key: 'a', expectedVersion: 0, value: '1' }]);
  await controlPlatform(context.address, { table: 'take-copy' });
  await context.table.transact([{ key: 'a', expectedVersion: 1, value: '2' }]);
  await controlPlatform(context.address, { table: 'restore' });
  const outcome = await context.table.transact([{ key: 'a', expectedVersion: 1, value: '3' }]);
  expect(outcome._unsafeUnwrap()).toEqual({ committed: true });
  const rows = await context.table.read(['a']);
  expect(rows._unsafeUnwrap()).toEqual([{ key: 'a', version: 2, value: '3' }]);
});
