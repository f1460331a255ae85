import { type Server, type Socket, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';

import type { HeaderCodec } from '@boragepoint/platform';
import { expect } from 'earl';

import { type SendOutcome, sendRequest } from '../lib/send-request.js';
import { createServerConnections } from '../lib/server-connections.js';

const codec: HeaderCodec = {
  readRequest: () => ({ attemptId: undefined, deadlineMs: undefined, key: undefined }),
  readAnswer: (_status, headers) => ({
    attemptId: headers.attempt as string | undefined,
    notRun: headers['not-run'] !== undefined,
    signed: headers.signature !== undefined,
    load: undefined,
  }),
  writeRequest: () => ({}),
  writeAnswer: () => ({}),
};

/** Sends one request to a server that answers as `reply` does. */
async function sendTo(reply: (socket: Socket) => void): Promise<SendOutcome> {
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      reply(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const connections = createServerConnections(`127.0.0.1:${port}`, {
    connections: 1,
    keepAliveMs: 4_000,
  });
  try {
    return await sendRequest(
      connections,
      { method: 'GET', path: '/', headers: [], body: undefined, attemptId: 'a1' },
      codec,
      new AbortController().signal,
    );
  } finally {
    connections.close();
    server.close();
  }
}

const HEAD = 'HTTP/1.1 200 OK\r\nattempt: a1\r\nsignature: s\r\n';

test('an answer of no stated length is whole when its connection ends in order', async () => {
  const outcome = await sendTo((socket) => {
    socket.end(`${HEAD}connection: close\r\n\r\nwhole`);
  });
  expect(outcome.kind).toEqual('answer');
});

test('an answer of no stated length is not whole when its connection is reset', async () => {
  const outcome = await sendTo((socket) => {
    socket.write(`${HEAD}connection: close\r\n\r\npart`, () => {
      // The reset must not overtake the bytes, so that the answer has begun when it comes.
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
  });
  expect(outcome).toLooseEqual({
    kind: 'unknown',
    why: 'broken-off',
    detail: 'reset before the end',
  });
});

test('an answer that is shorter than it says is not passed on', async () => {
  const outcome = await sendTo((socket) => {
    socket.end(`${HEAD}content-length: 9\r\n\r\nshort`);
  });
  expect(outcome.kind).toEqual('unknown');
});

test('an answer to another request is not passed on', async () => {
  const outcome = await sendTo((socket) => {
    socket.end('HTTP/1.1 200 OK\r\nattempt: b2\r\nsignature: s\r\ncontent-length: 2\r\n\r\nok');
  });
  expect(outcome).toLooseEqual({
    kind: 'unknown',
    why: 'garbled',
    detail: 'the answer names another request',
  });
});

test('a success without a signature is not passed on', async () => {
  const outcome = await sendTo((socket) => {
    socket.end('HTTP/1.1 200 OK\r\nattempt: a1\r\ncontent-length: 2\r\n\r\nok');
  });
  expect(outcome.kind).toEqual('unknown');
});

test('a statement that the request did not run is believed', async () => {
  const outcome = await sendTo((socket) => {
    socket.end('HTTP/1.1 503 Full\r\nattempt: a1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n');
  });
  expect(outcome.kind).toEqual('not-run');
  expect(outcome.kind === 'not-run' && outcome.why).toEqual('shed');
});

test('a refused connection proves that the request did not run', async () => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const connections = createServerConnections(`127.0.0.1:${port}`, {
    connections: 1,
    keepAliveMs: 4_000,
  });
  const outcome = await sendRequest(
    connections,
    { method: 'POST', path: '/', headers: [], body: Buffer.from('x'), attemptId: 'a1' },
    codec,
    new AbortController().signal,
  );
  connections.close();
  expect(outcome).toLooseEqual({ kind: 'not-run', why: 'refused' });
});

test('a request that the router gives up is cancelled, and not broken off by the server', async () => {
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      limit.abort();
    });
  });
  const limit = new AbortController();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const connections = createServerConnections(`127.0.0.1:${port}`, {
    connections: 1,
    keepAliveMs: 4_000,
  });
  const outgoing = { method: 'GET', path: '/', headers: [], body: undefined, attemptId: 'a1' };
  const outcome = await sendRequest(connections, outgoing, codec, limit.signal);
  connections.close();
  server.close();
  expect(outcome).toLooseEqual({ kind: 'unknown', why: 'cancelled', detail: 'cancelled' });
});

test('a request whose connection breaks without an answer may have run', async () => {
  const outcome = await sendTo((socket) => {
    socket.destroy();
  });
  expect(outcome.kind).toEqual('unknown');
});
