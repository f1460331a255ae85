import { type Socket, connect } from 'node:net';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { expect } from 'earl';

import { createRouteTable } from '../lib/route-table.js';
import { cfg, listen, serverAnswer } from './listener-harness.js';

const MAX_BODY_BYTES = 200 << 20;
const HEAD = 'POST /p/1 HTTP/1.1\r\nhost: a.example\r\nattempt: a\r\n';
const CHUNKED_HEAD = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const routes = createRouteTable({
  ...cfg,
  limits: { ...cfg.limits, maxBodyBytes: MAX_BODY_BYTES },
});

/** Encodes chunks of a size, without the last one. */
function chunksOf(count: number, bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`.repeat(count);
}

/** Sends bytes and returns the answer's first part. */
async function firstAnswer(port: number, input: string): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(input);
  const answer = await new Promise((resolve) => socket.once('data', resolve));
  socket.destroy();
  return String(answer);
}

/** Bodies of tiny chunks that are read at the same time. */
const TINY_CHUNK_BODIES = 4;
/** One chunk more than a body may have of any size. */
const TINY_CHUNKS = chunksOf(4_097, 1);

// Guards against a limit on the number of chunks, which no page names, that refuses a valid body.
test('a body of any number of tiny chunks is taken while few others are read', async () => {
  const sizes: (number | undefined)[] = [];
  const { port, listener } = await listen((req) => {
    sizes.push(req.body?.length);
    return Promise.resolve(serverAnswer('', true));
  }, routes);
  const taken = await firstAnswer(port, `${CHUNKED_HEAD}${chunksOf(100_000, 1)}0\r\n\r\n`);
  expect(taken.slice(0, 12)).toEqual('HTTP/1.1 200');
  expect(sizes).toEqual([100_000]);
  await listener.drain();
});

/** Sends bodies of tiny chunks without their end; resolves with the first answer to any of them. */
async function openBodies(
  port: number,
  count: number,
): Promise<{ answer: string; sockets: Socket[] }> {
  const sockets = Array.from({ length: count }, () => connect(port, '127.0.0.1'));
  const answers = sockets.map((socket) => {
    socket.on('error', () => undefined);
    socket.write(`${CHUNKED_HEAD}${TINY_CHUNKS}`);
    return new Promise((resolve) => socket.once('data', resolve));
  });
  return { answer: String(await Promise.race(answers)), sockets };
}

// Guards against clients that together keep the parser busy with little content: each chunk costs
// the parser some time, whatever its size.
test('bodies of tiny chunks beyond those that are read are refused, others are taken', async () => {
  const { port, listener } = await listen(() => Promise.resolve(serverAnswer('', true)), routes);
  const { answer: refused, sockets } = await openBodies(port, TINY_CHUNK_BODIES + 1);
  expect(refused.slice(0, 12)).toEqual('HTTP/1.1 503');
  expect(refused.includes('retry-after: 1.000')).toEqual(true);
  expect(refused.toLowerCase().includes('connection: close')).toEqual(true);
  const other = await firstAnswer(port, `${CHUNKED_HEAD}${chunksOf(20_000, 40)}0\r\n\r\n`);
  expect(other.slice(0, 12)).toEqual('HTTP/1.1 200');
  expect(listener.openRequests()).toEqual(TINY_CHUNK_BODIES);
  for (const socket of sockets) socket.destroy();
  while (listener.openRequests() > 0) await nextTurn();
  const taken = await firstAnswer(port, `${CHUNKED_HEAD}${TINY_CHUNKS}0\r\n\r\n`);
  expect(taken.slice(0, 12)).toEqual('HTTP/1.1 200');
  await listener.drain();
});

// Guards against a refused body whose chunks are still parsed, one by one and without a bound.
test('a chunked body for which there is no room is not read on', async () => {
  const { port, listener } = await listen(() => Promise.resolve(serverAnswer('', true)), routes);
  const first = connect(port, '127.0.0.1');
  first.write(`${HEAD}content-length: ${MAX_BODY_BYTES}\r\n\r\nx`);
  while (listener.openRequests() === 0) await nextTurn();
  const refused = await firstAnswer(port, `${CHUNKED_HEAD}${chunksOf(2, 64 * 1_024)}`);
  expect(refused.slice(0, 12)).toEqual('HTTP/1.1 503');
  expect(refused.includes('retry-after: 1.000')).toEqual(true);
  expect(refused.toLowerCase().includes('connection: close')).toEqual(true);
  first.destroy();
  await listener.drain();
});
