import { once } from 'node:events';
import { writeFile } from 'node:fs/promises';
import { connect as connectHttp2 } from 'node:http2';
import { connect } from 'node:net';
import path from 'node:path';
import { after, before, test } from 'node:test';

import { parseIpEndpoint } from '@boragepoint/config';
import { expect } from 'earl';
import { Client, request } from 'undici';

import { type Fleet, startFleet } from '../lib/harness/fleet.js';
import { submitConfiguration } from '../lib/harness/operator-tool.js';
import { PROGRAMS } from '../lib/harness/programs.js';
import type { RouterNode } from '../lib/harness/router-node.js';
import { runProgram } from '../lib/harness/run-program.js';
import { waitUntil } from '../lib/harness/wait-until.js';

const WAIT_MS = 10_000;
const PAY = { name: 'pay', method: 'POST', path: '/payments', idempotent: false } as const;
const READ = { name: 'read', method: 'GET', path: '/payments/*', idempotent: true } as const;

let fleet: Fleet;
let router: RouterNode;

function isServed(): Promise<true | undefined> {
  return request(`http://${router.callers}/caja/payments/1`, { headers: { member: 'm' } }).then(
    async (res) => {
      await res.body.dump();
      return res.statusCode === 200 ? true : undefined;
    },
    () => undefined,
  );
}

before(async () => {
  const config = {
    name: 'caja',
    shards: 4,
    key: { from: 'header', name: 'member' } as const,
    rules: [
      { ...PAY, deadlineMs: 2_000 },
      { ...READ, deadlineMs: 1_000 },
    ],
  };
  const locations = [{ availabilityZone: 'cusco', region: 'sierra' }];
  fleet = await startFleet({ locations, routers: 1, services: [{ config, backendServers: 1 }] });
  const [first] = fleet.routers;
  if (first === undefined) throw new Error('the fleet started no router');
  router = first;
  await submitConfiguration(fleet);
  await waitUntil('the key served', isServed, WAIT_MS);
});

after(async () => {
  await fleet[Symbol.asyncDispose]();
});

async function expectAlive(): Promise<void> {
  await waitUntil('the key served', isServed, WAIT_MS);
  expect(router.program.exit).toEqual(undefined);
}

interface BadRequest {
  readonly defect: string;
  readonly path: string;
  readonly options?: Parameters<typeof request>[1];
  readonly status: number;
  readonly code: number;
}

const member = { member: 'm' };
const BAD_REQUESTS: BadRequest[] = [
  { defect: 'an unknown service', path: '/nosuch/x', status: 404, code: 301 },
  { defect: 'a missing key', path: '/caja/payments/1', status: 400, code: 302 },
  {
    defect: 'a path that matches no rule',
    path: '/caja/x',
    options: { headers: member },
    status: 404,
    code: 303,
  },
  {
    defect: 'an encoded dot segment',
    path: '/caja/payments/..%2fx',
    options: { headers: member },
    status: 404,
    code: 303,
  },
  {
    defect: 'a bad idempotency key',
    path: '/caja/payments',
    options: { method: 'POST', headers: { ...member, 'idempotency-key': 'x'.repeat(300) } },
    status: 400,
    code: 304,
  },
  {
    defect: 'an oversized body',
    path: '/caja/payments',
    options: { method: 'POST', headers: member, body: 'x'.repeat(1_048_577) },
    status: 413,
    code: 306,
  },
  {
    defect: 'oversized headers',
    path: '/caja/payments/1',
    options: { headers: { ...member, extra: 'x'.repeat(20_000) } },
    status: 431,
    code: 307,
  },
];
for (const { defect, path: target, options, status, code } of BAD_REQUESTS) {
  test(`a caller's request with ${defect} gets code ${code}`, async () => {
    const res = await request(`http://${router.callers}${target}`, options);
    const body = (await res.body.json()) as { code: number };
    expect([res.statusCode, body.code]).toEqual([status, code]);
    await expectAlive();
  });
}

for (const listener of ['callers', 'operators'] as const) {
  test(`no request to ${listener} is lost on a connection whose last body was not read`, async () => {
    const client = new Client(`http://${router[listener]}`);
    const body = 'x'.repeat(300_000);
    const refused = await client.request({ method: 'POST', path: '/nosuch/x', body });
    await refused.body.dump();
    const res = await client.request({ method: 'GET', path: '/livez' });
    await res.body.dump();
    await client.close();
    expect([refused.statusCode, res.statusCode]).toEqual([404, 200]);
  });
}

test('an operator with a wrong token gets code 401', async () => {
  const headers = { authorization: `Bearer ${fleet.token}x` };
  const res = await request(`http://${router.operators}/v1/status`, { headers });
  const body = (await res.body.json()) as { code: number };
  expect([res.statusCode, body.code]).toEqual([401, 401]);
});

const GARBAGE: [string, Buffer][] = [
  ['bytes that are not HTTP', Buffer.from([0, 255, 1, 13, 10, 13, 10, 200, 0, 9])],
  ['a TLS hello', Buffer.from('16030100050100000100', 'hex')],
  [
    'an HTTP/2 preface and a broken frame',
    Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff'),
  ],
  ['a truncated request', Buffer.from('POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nx')],
];
for (const listener of ['callers', 'operators', 'peers'] as const) {
  for (const [what, bytes] of GARBAGE) {
    test(`the router keeps serving after ${what} on the listener for ${listener}`, async () => {
      const endpoint = parseIpEndpoint(router[listener]);
      const socket = connect(endpoint?.port ?? 0, endpoint?.host);
      socket.on('error', () => undefined);
      await once(socket, 'connect');
      socket.end(bytes);
      socket.resume();
      await expectAlive();
      socket.destroy();
    });
  }
}

const BAD_ROWS = [
  '{',
  '[]',
  '{"rows": 7}',
  '{"rows": [{"key": "config/caja", "version": "99", "value": "no JSON"}]}',
  '{"rows": [{"key": "config/caja", "version": "99", "value": "{}"}]}',
  '{"rows": [{"key": "nosuch/kind", "version": "1", "value": "{}"}]}',
];
for (const body of BAD_ROWS) {
  test(`the rows ${body} from a peer change nothing`, async () => {
    const session = connectHttp2(`http://${router.peers}`);
    const stream = session.request({
      ':method': 'POST',
      ':path': '/boragepoint.v1.PeerService/PushRows',
      'content-type': 'application/json',
    });
    stream.end(body);
    await once(stream, 'response');
    stream.resume();
    await once(stream, 'close');
    session.destroy();
    await expectAlive();
  });
}

test('a router names every wrong setting and exits with code 2', async () => {
  const file = path.join(fleet.folder, 'bad.toml');
  await writeFile(file, '[instance]\nid = 7\ncolour = "red"\n[listen]\ncallers = "here"\n');
  const { code, stderr } = await runProgram(PROGRAMS.router, ['--settings', file]);
  const named = ['line 2: instance.id', 'line 3: instance.colour', 'line 5: listen.callers'];
  expect(code).toEqual(2);
  expect(named.filter((it) => !stderr.includes(it))).toEqual([]);
  expect(stderr.includes('platform.table: is missing')).toEqual(true);
});

test('a router names the line of malformed TOML and exits with code 2', async () => {
  const file = path.join(fleet.folder, 'malformed.toml');
  await writeFile(file, '[instance]\nid = = 1\n');
  const { code, stderr } = await runProgram(PROGRAMS.router, ['--settings', file]);
  expect([code, stderr.includes('line 2')]).toEqual([2, true]);
});
