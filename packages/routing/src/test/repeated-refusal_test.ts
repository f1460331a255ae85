import { type AddressInfo, createServer } from 'node:net';
import { test } from 'node:test';

import { expect } from 'earl';
import { ok } from 'neverthrow';
import { Pool } from 'undici';

import { type KeeperRunContext, runAtKeeper } from '../lib/dispatch/keeper-run.js';
import type { RoutedRequest } from '../lib/dispatch/routed-request.js';

const ID = 'bp-request-id: r1\r\n';
const REFUSAL = `HTTP/1.1 503 Full\r\n${ID}bp-refusal: overloaded\r\ncontent-length: 0\r\n\r\n`;
const ANSWER = `HTTP/1.1 200 OK\r\n${ID}content-length: 2\r\n\r\nok`;

/** A server that refuses the first attempt, and repeats that before later ones on its connection. */
async function startServer() {
  let runs = 0;
  let refusedOn: unknown;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      if (refusedOn === undefined) {
        refusedOn = socket;
        socket.write(REFUSAL);
        return;
      }
      runs += 1;
      socket.write((socket === refusedOn ? REFUSAL : '') + ANSWER);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, runs: () => runs, close: () => server.close() };
}

function contextOf(address: string, pool: Pool): KeeperRunContext {
  const placement = { server: { id: 'a', address }, assignment: { shard: 1, epoch: 1n } };
  const permit = { release: () => undefined, [Symbol.dispose]: () => undefined };
  const queue = { admit: () => Promise.resolve(ok(permit)) };
  const run = { isExclusive: false, answered: () => undefined, ended: () => undefined };
  const done = () => Promise.resolve();
  return {
    map: {
      place: () => placement,
      keyHash: () => 1,
      onChange: () => ({ [Symbol.dispose]: () => undefined }),
    },
    keepers: { session: () => ({ isRenewing: () => true }) },
    load: { record: () => undefined },
    links: { linkTo: () => ({ address, pool, queue }), closing: new AbortController().signal },
    quarantine: { admit: () => Promise.resolve({ kind: 'run', run }) },
    ledger: {
      begin: () => Promise.resolve({ kind: 'started', handle: {} }),
      finish: done,
      notRun: done,
      unknown: done,
    },
  } as unknown as KeeperRunContext;
}

// Guards against a second run of a request that is not idempotent: its attempts bear one id, so that
// a copy of the answer to the first one passes for "not run" at the second one, which runs.
test('a second attempt at the owner is not judged by the answer to the first one', async () => {
  const server = await startServer();
  const pool = new Pool(`http://${server.address}`, { connections: 1, pipelining: 1 });
  const req = {
    requestId: 'r1',
    service: { name: 's' },
    rule: { name: 'r', idempotent: false, priority: 0, maxAnswerBytes: 1_000 },
    key: 'k',
    method: 'POST',
    path: '/',
    headers: [],
    body: new Uint8Array(),
    caller: 'c',
    idempotencyKey: 'once',
    isRepeat: false,
    deadlineAt: performance.now() + 5_000,
    signal: new AbortController().signal,
  } as unknown as RoutedRequest;
  const answer = await runAtKeeper(contextOf(server.address, pool), req, 'fingerprint');
  expect(answer.kind).toEqual('answered');
  expect(server.runs()).toEqual(1);
  await pool.destroy();
  server.close();
});
