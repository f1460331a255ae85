import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';

import { LEASE_PATH, leaseAnswerSchema, type LeaseRequest } from '@boragepoint/platform';
import { expect } from 'earl';
import { request } from 'undici';
import * as v from 'valibot';

import { startBackend } from '../lib/harness/backend-node.js';
import { waitUntil } from '../lib/harness/wait-until.js';

const SHARD = { service: 's', shard: 1, epoch: 2 };
const LOCATION = { availabilityZone: 'z', region: 'r' };
const LONG_MS = 60_000;

async function setUp(args: readonly string[]) {
  const folder = await mkdtemp(path.join(tmpdir(), 'standin-test-'));
  const node = await startBackend({ id: 'a', service: 's', location: LOCATION, args, folder });

  async function renew(change: Partial<LeaseRequest>) {
    const base = { keeper: 'k', keeperEpoch: 1, leaseMs: LONG_MS, grants: [], release: [] };
    const body = JSON.stringify({ ...base, ...change });
    const res = await request(`http://${node.address}${LEASE_PATH}`, { method: 'POST', body });
    return v.parse(leaseAnswerSchema, await res.body.json());
  }

  async function sendRequest(
    id: string,
    headers: Record<string, string> = {},
    signal?: AbortSignal,
  ) {
    const res = await request(`http://${node.address}/x`, {
      headers: {
        'bp-service': SHARD.service,
        'bp-shard': String(SHARD.shard),
        'bp-epoch': String(SHARD.epoch),
        'bp-request-id': id,
        ...headers,
      },
      signal: signal ?? null,
    });
    const body = await res.body.text();
    return { status: res.statusCode, headers: res.headers, body };
  }

  return {
    node,
    sendRequest,
    async grant() {
      const echo = await renew({});
      await renew({ echo, grants: [SHARD] });
    },
    events: () => readFile(node.logFile, 'utf8'),
    async [Symbol.asyncDispose]() {
      await node[Symbol.asyncDispose]();
      await rm(folder, { recursive: true });
    },
  };
}

test('the event log contains the run of a request that crashes the server', async () => {
  await using context = await setUp([]);
  await context.grant();
  await expect(context.sendRequest('crash-1', { 'x-crash': '1' })).toBeRejected();
  await waitUntil('exit of the crashed server', () => context.node.program.exit);
  expect(await context.events()).toInclude('crash-1');
});

test('a restarted server holds no shards', async () => {
  await using context = await setUp([]);
  await context.grant();
  await context.node.restart();
  const answer = await context.sendRequest('1');
  expect([answer.status, answer.headers['bp-refusal']]).toEqual([409, 'not-owner']);
});

test('a server with checks turned off runs a request without a grant', async () => {
  await using context = await setUp(['--no-checks']);
  expect((await context.sendRequest('1')).status).toEqual(200);
});

test('a waiting request whose sender disconnects is dropped and does not run', async () => {
  await using context = await setUp(['--slots', '1']);
  await context.grant();
  const first = context.sendRequest('first', { 'x-work-ms': '300' });
  await waitUntil('first runs', async () =>
    (await context.events()).includes('"first"') ? true : undefined,
  );
  const aborter = new AbortController();
  const second = context.sendRequest('second', {}, aborter.signal);
  await waitUntil('second waits', async () => {
    const res = await request(`http://${context.node.address}/_bp/load`);
    const load = (await res.body.json()) as { waiting: number };
    return load.waiting === 1 ? true : undefined;
  });
  aborter.abort();
  await expect(second).toBeRejected();
  await first;
  const events = await context.events();
  expect(events).toInclude('"kind":"dropped"');
  expect(events.match(/"kind":"ran"/g)?.length).toEqual(1);
});

test('a request that waits past its deadline is refused', async () => {
  await using context = await setUp(['--slots', '1']);
  await context.grant();
  const first = context.sendRequest('first', { 'x-work-ms': '200' });
  await waitUntil('first runs', async () =>
    (await context.events()).includes('"first"') ? true : undefined,
  );
  const second = await context.sendRequest('second', { 'bp-deadline-ms': '50' });
  expect([second.status, second.headers['bp-refusal']]).toEqual([503, 'deadline']);
  await first;
});

test('answers can be truncated or carry a wrong request id', async () => {
  await using context = await setUp([]);
  await context.grant();
  await context.node.control({ mislabelNext: 1 });
  expect((await context.sendRequest('1')).headers['bp-request-id']).toEqual('not-1');
  await context.node.control({ cutNext: 1 });
  await expect(context.sendRequest('2')).toBeRejected();
  expect((await context.sendRequest('3')).status).toEqual(200);
});
