import { type Socket, connect } from 'node:net';
import { test } from 'node:test';

import { runSteadyCaller, wholeAnswers } from '@boragepoint/standin';
import { expect } from 'earl';

import { createRouteTable } from '../lib/route-table.js';
import { cfg, get, listen, serverAnswer } from './listener-harness.js';

const LARGE_BYTES = 8 << 20;

const turn = () => new Promise((resolve) => setImmediate(resolve));

/** Connects without ending its own side when the router ends the other. */
function connectOpen(port: number): Promise<Socket> {
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  socket.on('error', () => undefined);
  return new Promise((resolve) => {
    socket.on('connect', () => {
      resolve(socket);
    });
  });
}

// Guards against a refusal that is destroyed because the caller still sends the body.
test('a caller that sends its whole body before it reads gets the refusal of the body', async () => {
  const { port, listener } = await listen(() => Promise.resolve(serverAnswer('', true)));
  const socket = await connectOpen(port);
  const head = `POST /p/1 HTTP/1.1\r\nhost: a.example\r\nattempt: a\r\n`;
  socket.write(`${head}content-length: ${LARGE_BYTES}\r\n\r\n`);
  const sent = new Promise<boolean>((resolve) => {
    socket.on('close', () => {
      resolve(false);
    });
    socket.write(Buffer.alloc(LARGE_BYTES), (err) => {
      resolve(!err);
    });
  });
  expect(await sent).toEqual(true);
  let text = '';
  socket.on('data', (chunk) => (text += String(chunk)));
  await new Promise((resolve) => socket.on('end', resolve));
  socket.end();
  expect(text.startsWith('HTTP/1.1 413')).toEqual(true);
  expect(text.toLowerCase().includes('connection: close')).toEqual(true);
  await listener.drain();
});

test('a caller that stays connected without sending does not hold a drain for long', async () => {
  const { port, listener, closed } = await listen(() => Promise.resolve(serverAnswer('a', true)));
  const socket = await connectOpen(port);
  socket.write(get('/p/1', 'one'));
  await new Promise((resolve) => socket.once('data', resolve));
  await listener.drain();
  expect(closed.map(({ reason, endedBy }) => [reason, endedBy])).toEqual([
    ['idle-at-stop', 'time'],
  ]);
  expect(closed.every((it) => it.forMs < 2_000)).toEqual(true);
  socket.destroy();
});

// Guards against requests that are passed on behind a decided close, where no answer can come.
test('what arrives after a close was decided is not handled', async () => {
  const handled: string[] = [];
  const { port, listener, closed } = await listen((req) => {
    handled.push(req.attemptId);
    return Promise.resolve(serverAnswer('a', true));
  });
  const socket = await connectOpen(port);
  socket.write(get('/p/1', 'one'));
  await new Promise((resolve) => socket.once('data', resolve));
  const drained = listener.drain();
  const late = get('/p/2', 'two');
  socket.write(late, () => socket.end());
  await drained;
  expect(handled).toEqual(['one']);
  expect(closed[0]?.lateBytes).toEqual(late.length);
  expect(closed[0]?.endedBy).toEqual('peer');
});

test('an idle connection is closed after its time, and its caller may still be sending', async () => {
  const limits = { ...cfg.limits, idleTimeoutMs: 50 };
  const { port, listener, closed } = await listen(() => Promise.resolve(serverAnswer('a', true)));
  listener.applyLimits(limits);
  const socket = await connectOpen(port);
  socket.write(get('/p/1', 'one'));
  let isReset = false;
  socket.on('error', () => (isReset = true));
  socket.resume();
  await new Promise((resolve) => socket.on('end', resolve));
  for (let count = 0; count < 10; count += 1) {
    socket.write(get('/p/2', 'two'));
    await turn();
  }
  socket.end();
  while (closed.length === 0) await turn();
  expect(isReset).toEqual(false);
  expect(closed.at(-1)?.reason).toEqual('idle-timeout');
  await listener.drain();
});

test('a caller with bodies that writes on to the end gets the answer to each request taken', async () => {
  const body = 'x'.repeat(200_000);
  let handled = 0;
  const routes = createRouteTable(cfg);
  const { port, listener } = await listen(() => {
    handled += 1;
    if (handled === 20) listener.announceClose();
    return Promise.resolve(serverAnswer(body, true));
  }, routes);
  const next = () =>
    `POST /p/1 HTTP/1.1\r\nhost: a.example\r\nattempt: a\r\ncontent-length: 10\r\n\r\n0123456789`;
  const pace = { sendEachMs: 5, readBytes: 40_000, readEachMs: 10 };
  const { text, end } = await runSteadyCaller({ port, next, ...pace });
  expect(end).toEqual('end');
  expect(wholeAnswers(text).length).toEqual(handled);
  await listener.drain();
});
