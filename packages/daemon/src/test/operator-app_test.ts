import { once } from 'node:events';
import { type AddressInfo, connect } from 'node:net';
import { test } from 'node:test';

import { RESULT_CODES, errorBodySchema } from '@boragepoint/config';
import { serve } from '@hono/node-server';
import { expect } from 'earl';
import * as fc from 'fast-check';
import { err, ok } from 'neverthrow';
import { Registry } from 'prom-client';
import * as v from 'valibot';

import {
  OperatorError,
  type OperatorOperations,
  createOperatorApp,
} from '../lib/operators/index.js';
import { fakeOperations } from './fake-operations.js';

const TOKEN = 'correct-token';
const SEED = 7_301;
const CONFIG = {
  name: 'caja',
  shards: 16,
  key: { from: 'header', name: 'member' },
  rules: [{ name: 'pay', method: 'POST', path: '/**', idempotent: false, deadlineMs: 900 }],
  backendServers: [
    { id: 'caja-1', address: '127.0.0.1:9000', availabilityZone: 'cusco', region: 'sierra' },
  ],
};

function createApp(overrides: Partial<OperatorOperations> = {}, unexpected: Error[] = []) {
  return createOperatorApp({
    token: TOKEN,
    operations: fakeOperations(overrides),
    metrics: new Registry(),
    onUnexpected: (cause) => unexpected.push(cause),
  });
}

function call(app: ReturnType<typeof createApp>, method: string, path: string, body?: string) {
  const headers = { authorization: `Bearer ${TOKEN}` };
  return app.request(path, { method, headers, ...(body === undefined ? {} : { body }) });
}

async function readError(res: Response) {
  return v.parse(errorBodySchema, await res.json());
}

for (const authorization of ['', 'Bearer', 'Bearer wrong', `Basic ${TOKEN}`, `Bearer ${TOKEN}x`]) {
  test(`authorization '${authorization}' is refused before any operation`, async () => {
    const app = createApp({ status: () => Promise.reject(new Error('must not run')) });
    const res = await app.request('/v1/status', { headers: { authorization } });
    expect(res.status).toEqual(401);
    expect((await readError(res)).code).toEqual(RESULT_CODES.unauthorized);
  });
}

test('with an empty token in the settings, every request is unauthorized', async () => {
  const app = createOperatorApp({
    token: '',
    operations: fakeOperations(),
    metrics: new Registry(),
  });
  const res = await app.request('/v1/status', { headers: { authorization: 'Bearer ' } });
  expect(res.status).toEqual(401);
});

test('a conflict names the current version and its writer', async () => {
  const details = { currentVersion: 9, writer: 'rosa' };
  const app = createApp({
    putService: () => Promise.resolve(err(new OperatorError('versionConflict', 'raced', details))),
  });
  const body = JSON.stringify({ expectedVersion: 8, config: CONFIG });
  const res = await call(app, 'PUT', '/v1/services/caja', body);
  expect(res.status).toEqual(409);
  expect((await readError(res)).details).toEqual(details);
});

test('a refusal of an invalid configuration lists all of its problems', async () => {
  const lease = { leaseMs: 100, renewEveryMs: 90 };
  const config = { ...CONFIG, lease, rules: [...CONFIG.rules, ...CONFIG.rules] };
  const body = JSON.stringify({ expectedVersion: 0, config });
  const res = await call(createApp(), 'PUT', '/v1/services/vitrina', body);
  const { code, details } = await readError(res);
  expect(res.status).toEqual(422);
  expect(code).toEqual(RESULT_CODES.invalidConfiguration);
  expect(details?.problems?.map((it) => it.path)).toEqual([
    'config.lease.leaseMs',
    'config.rules[1].name',
    'config.rules[1].path',
    'config.name',
  ]);
});

test('an unexpected exception is answered with code 408 and without its message', async () => {
  const unexpected: Error[] = [];
  const app = createApp({ status: () => Promise.reject(new Error('secret')) }, unexpected);
  const res = await call(app, 'GET', '/v1/status');
  const body = await readError(res);
  expect(res.status).toEqual(500);
  expect(body.code).toEqual(RESULT_CODES.internalError);
  expect(JSON.stringify(body).includes('secret')).toEqual(false);
  expect(unexpected.map((it) => it.message)).toEqual(['secret']);
});

test('an oversized body is refused', async () => {
  const res = await call(createApp(), 'POST', '/v1/drain', 'x'.repeat(4_194_305));
  expect(res.status).toEqual(413);
});

test('the answer of a router that is not ready has the reasons and a retry-after header', async () => {
  const app = createApp({ readiness: () => ({ ready: false, reasons: ['no configuration'] }) });
  const res = await app.request('/readyz');
  expect(res.status).toEqual(503);
  expect(res.headers.get('retry-after')).toEqual('1');
  expect((await readError(res)).message).toEqual('no configuration');
});

test('any input leads to an error body or to its operation, never to an exception', async () => {
  const paths = ['/v1/drain', '/v1/move', '/v1/pin', '/v1/depose', '/v1/services/caja'];
  const unexpected: Error[] = [];
  const app = createApp({}, unexpected);
  const body = fc.oneof(
    fc.string(),
    fc.json(),
    fc.object().map((it) => JSON.stringify(it)),
  );
  const property = fc.asyncProperty(fc.constantFrom(...paths), body, async (path, text) => {
    const res = await call(app, path.includes('services') ? 'PUT' : 'POST', path, text);
    await readError(res);
    return unexpected.length === 0;
  });
  await fc.assert(property, { seed: SEED, numRuns: 300 });
});

test('any query leads to an error body or to its operation, never to an exception', async () => {
  const paths = ['/v1/owner', '/v1/explain', '/v1/events', '/v1/quarantine/x', '/v1/services/'];
  const unexpected: Error[] = [];
  const app = createApp({}, unexpected);
  const property = fc.asyncProperty(
    fc.constantFrom(...paths),
    fc.string({ unit: 'grapheme-ascii' }),
    async (path, text) => {
      const res = await call(app, path.endsWith('x') ? 'DELETE' : 'GET', `${path}?${text}`);
      await readError(res);
      return unexpected.length === 0;
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: 300 });
});

test('the listener keeps serving after it received malformed bytes', async () => {
  const app = createApp({ listServices: () => Promise.resolve(ok({ services: [] })) });
  const server = serve({ fetch: app.fetch, hostname: '127.0.0.1', port: 0 });
  try {
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    socket.end(Buffer.from([0, 255, 13, 10, 22, 3, 1, 13, 10, 13, 10]));
    socket.resume();
    await once(socket, 'close');
    const headers = { authorization: `Bearer ${TOKEN}` };
    const res = await fetch(`http://127.0.0.1:${port}/v1/services`, { headers });
    expect(await res.json()).toEqual({ services: [] });
  } finally {
    server.close();
  }
});
