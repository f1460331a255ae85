import { EventEmitter, once } from 'node:events';
import { test } from 'node:test';

import { type ServiceConfigInput, formatConfiguration } from '@boragepoint/config';
import { expect } from 'earl';

import { type FakeTable, runCli, startFakeRouter } from './fake-router.js';

function configurationText(name: string, overrides: Partial<ServiceConfigInput> = {}): string {
  const service: ServiceConfigInput = {
    name,
    shards: 16,
    key: { from: 'header', name: 'member' },
    rules: [{ name: 'pay', method: 'POST', path: '/**', idempotent: false, deadlineMs: 900 }],
    backendServers: [
      { id: name, address: '127.0.0.1:9000', availabilityZone: 'cusco', region: 'sierra' },
    ],
    ...overrides,
  };
  return formatConfiguration([service])._unsafeUnwrap();
}

test('apply writes the configuration, waits until it is in force and reports both', async () => {
  const table: FakeTable = new Map();
  await using router = await startFakeRouter(table);
  const setup = { routers: [router.url], input: configurationText('caja') };
  const run = await runCli(['apply', '-', '--as', 'rosa', '--json'], setup);
  const report = JSON.parse(run.stdout) as { services: unknown; routers: number };
  expect(run.exitCode).toEqual(0);
  expect(report.services).toEqual([{ name: 'caja', version: 1, changed: true }]);
  expect(report.routers).toEqual(1);
  expect(table.get('caja')?.writer).toEqual('rosa');
});

test('apply of an unchanged configuration writes nothing', async () => {
  const table: FakeTable = new Map();
  await using router = await startFakeRouter(table);
  const setup = { routers: [router.url], input: configurationText('caja') };
  await runCli(['apply', '-'], setup);
  const run = await runCli(['apply', '-'], setup);
  expect(run.exitCode).toEqual(0);
  expect(run.stdout.includes('unchanged')).toEqual(true);
  expect(table.get('caja')?.version).toEqual(1);
});

test('of two writes based on the same version one succeeds and the other reports a conflict', async () => {
  const table: FakeTable = new Map();
  let reads = 0;
  // Answers no read before both commands have sent theirs, so that both start from version 0.
  const barrier = new EventEmitter();
  const barrierOpened = once(barrier, 'open');
  const beforeRead = async () => {
    reads += 1;
    if (reads === 2) barrier.emit('open');
    await barrierOpened;
  };
  await using router = await startFakeRouter(table, { beforeRead });
  const apply = (as: string, movesPerMinute: number) =>
    runCli(['apply', '-', '--as', as], {
      routers: [router.url],
      input: configurationText('caja', { movesPerMinute }),
    });
  const runs = await Promise.all([apply('rosa', 10), apply('elias', 20)]);
  const winner = table.get('caja')?.writer;
  const [loser] = runs.filter((it) => it.exitCode !== 0);
  expect(runs.map((it) => it.exitCode).sort()).toEqual([0, 1]);
  expect(loser?.stderr.includes(`version 1 was written by ${winner}`)).toEqual(true);
  expect(table.get('caja')?.version).toEqual(1);
});

test('apply of a document from get fails if another operator has written since', async () => {
  const table: FakeTable = new Map();
  await using router = await startFakeRouter(table);
  const routers = [router.url];
  await runCli(['apply', '-'], { routers, input: configurationText('caja') });
  const old = await runCli(['get', 'caja'], { routers });
  const other = configurationText('caja', { movesPerMinute: 7 });
  await runCli(['apply', '-', '--as', 'elias'], { routers, input: other });
  const edited = old.stdout.replace('"movesPerMinute": 60', '"movesPerMinute": 9');
  const run = await runCli(['apply', '-'], { routers, input: edited });
  expect(run.exitCode).toEqual(1);
  expect(run.stderr.includes('version 2 was written by elias')).toEqual(true);
  expect(table.get('caja')?.config.movesPerMinute).toEqual(7);
});

test('apply detects by reading back that a write took effect although its answer was lost', async () => {
  const table: FakeTable = new Map();
  await using router = await startFakeRouter(table, { answersToLose: 1 });
  const run = await runCli(['apply', '-'], {
    routers: [router.url],
    input: configurationText('caja'),
  });
  expect(run.exitCode).toEqual(0);
  expect(table.get('caja')?.version).toEqual(1);
});

test('apply names a live router that lags behind and does not wait for a leaving one', async () => {
  const routerFields = {
    availabilityZone: 'iquitos',
    region: 'selva',
    services: [],
    reportAgeMs: 5,
  };
  const routers = [
    { id: 'router-2', state: 'live' as const, ...routerFields },
    { id: 'router-3', state: 'leaving' as const, ...routerFields },
  ];
  await using router = await startFakeRouter(new Map(), { routers });
  const setup = { routers: [router.url], input: configurationText('caja') };
  const run = await runCli(['apply', '-', '--timeout', '250ms'], setup);
  expect(run.exitCode).toEqual(3);
  expect(run.stderr.includes('router-2 (iquitos): reports caja at version 0, not 1')).toEqual(true);
  expect(run.stderr.includes('router-3')).toEqual(false);
});

test('apply refuses an invalid configuration before it calls a router', async () => {
  const input = configurationText('caja').replace('"shards": 16', '"shards": 3, "colour": 1');
  const run = await runCli(['apply', '-'], { routers: ['http://127.0.0.1:1'], input });
  expect(run.exitCode).toEqual(2);
  expect(run.stderr.includes('services[0].shards: must be a power of two')).toEqual(true);
  expect(run.stderr.includes('services[0].colour: unknown field')).toEqual(true);
});

test('apply warns that it ends a drain and removes a pin', async () => {
  const table: FakeTable = new Map();
  await using router = await startFakeRouter(table);
  const routers = [router.url];
  const drainedAndPinned = configurationText('caja', { pins: [{ key: 'k' }] }).replace(
    '"draining": false',
    '"draining": true',
  );
  await runCli(['apply', '-'], { routers, input: drainedAndPinned });
  const run = await runCli(['apply', '-'], { routers, input: configurationText('caja') });
  expect(run.exitCode).toEqual(0);
  expect(run.stderr.includes('warn: this ends the drain of caja')).toEqual(true);
  expect(run.stderr.includes('warn: this removes the pin of the key k of caja')).toEqual(true);
});

test('diff shows changed fields under the names of their list entries', async () => {
  await using router = await startFakeRouter(new Map());
  const routers = [router.url];
  await runCli(['apply', '-'], { routers, input: configurationText('caja') });
  const input = configurationText('caja').replace('"deadlineMs": 900', '"deadlineMs": 950');
  const run = await runCli(['diff', '-'], { routers, input });
  expect(run.stdout).toEqual(
    'caja (version 1):\n  - rules.pay.deadlineMs: 900\n  + rules.pay.deadlineMs: 950\n',
  );
});
