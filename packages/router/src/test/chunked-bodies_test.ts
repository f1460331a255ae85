import { connect } from 'node:net';
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

// Guards against a client that keeps the parser busy for long with little content: the time for a body
// was bounded by the number of its chunks alone.
test('a body of many chunks is refused where their mean size is tiny, and else is taken', async () => {
  const sizes: (number | undefined)[] = [];
  const { port, listener } = await listen((req) => {
    sizes.push(req.body?.length);
    return Promise.resolve(serverAnswer('', true));
  }, routes);
  for (const [count, bytes] of [
    [4_096, 1],
    [20_000, 40],
  ] as const) {
    const taken = await firstAnswer(port, `${CHUNKED_HEAD}${chunksOf(count, bytes)}0\r\n\r\n`);
    expect(taken.slice(0, 12)).toEqual('HTTP/1.1 200');
  }
  expect(sizes).toEqual([4_096, 800_000]);
  const refused = await firstAnswer(port, `${CHUNKED_HEAD}${chunksOf(4_097, 1)}`);
  expect(refused.slice(0, 12)).toEqual('HTTP/1.1 413');
  expect(refused.toLowerCase().includes('connection: close')).toEqual(true);
  expect(sizes.length).toEqual(2);
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
