import { connect } from 'node:net';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { expect } from 'earl';

import type { CallerAnswer } from '../lib/caller-answer.js';
import { CLOSE_HEADER, deferred, exchange, get, listen, serverAnswer } from './listener-harness.js';

/** Sends a request, and what follows it once the request is being handled; returns what arrives. */
async function sendBehind(following: string, more = ''): Promise<string> {
  const started = deferred<undefined>();
  const release = deferred<undefined>();
  const { port, listener } = await listen(async (req) => {
    started.resolve(undefined);
    await release.promise;
    return serverAnswer(req.attemptId, true);
  });
  const socket = connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', (chunk) => (text += String(chunk)));
  const closed = new Promise<void>((resolve) => {
    socket.on('close', () => {
      resolve();
    });
  });
  socket.on('error', () => undefined);
  socket.write(get('/p/1', 'one', more));
  await started.promise;
  await new Promise((resolve) => socket.write(following, resolve));
  // A request on another connection is read after the bytes written before it.
  const other = exchange(port, get('/p/2', 'two', CLOSE_HEADER));
  await new Promise((resolve) => setImmediate(resolve));
  release.resolve(undefined);
  await Promise.all([other, closed]);
  await listener.drain();
  return text;
}

const statuses = (text: string) => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((it) => it[1]);

// Guards against an answer that belongs to another request, and against accepted requests without one.
test('a malformed request is refused behind the answers to the requests before it', async () => {
  const text = await sendBehind('junk\r\n\r\n');
  expect(statuses(text)).toEqual(['200', '400']);
  expect(text.includes('\r\n\r\none')).toEqual(true);
});

test('a header section over the limit is refused behind the answers to the requests before it', async () => {
  const text = await sendBehind(get('/p/3', 'three', `long: ${'x'.repeat(70_000)}\r\n`));
  expect(statuses(text)).toEqual(['200', '431']);
});

test('a CONNECT request is refused behind the answers to the requests before it', async () => {
  const text = await sendBehind('CONNECT a.example:80 HTTP/1.1\r\nhost: a.example\r\n\r\n');
  expect(statuses(text)).toEqual(['200', '400']);
});

// Guards against a second error of the parser that ends the connection before the first is answered.
test('what follows a malformed request does not destroy its answer', async () => {
  const text = await sendBehind('junk\r\n\r\nmore junk\r\n\r\n'.repeat(10_000));
  expect(statuses(text)).toEqual(['200', '400']);
});

test('bytes behind a request that closes its connection do not destroy its answer', async () => {
  const text = await sendBehind(get('/p/3', 'three'), CLOSE_HEADER);
  expect(statuses(text)).toEqual(['200']);
  expect(text.endsWith('\r\n\r\none')).toEqual(true);
});

test('a malformed body is answered in the turn of its request', async () => {
  const head = `POST /p/3 HTTP/1.1\r\nhost: a.example\r\nattempt: three\r\n`;
  const text = await sendBehind(`${head}transfer-encoding: chunked\r\n\r\nnot a size\r\n`);
  expect(statuses(text)).toEqual(['200', '400']);
  expect(text.includes('attempt: three')).toEqual(true);
});

// Guards against a request that is passed on behind one whose answer closes the connection.
test('a request without a host does not take the answer of the one behind it', async () => {
  const taken: string[] = [];
  const { port, listener } = await listen((req) => {
    taken.push(req.attemptId);
    return Promise.resolve(serverAnswer(req.attemptId, true));
  });
  const noHost = 'GET /p/1 HTTP/1.1\r\nattempt: one\r\n\r\n';
  const text = await exchange(port, noHost + get('/p/2', 'two', CLOSE_HEADER));
  expect(statuses(text)).toEqual(['400', '200']);
  expect(taken).toEqual(['two']);
  await listener.drain();
});

// Guards against an answer that can't be passed on and takes the connection of other requests along.
test('an answer that can not be passed on leaves the answers behind it', async () => {
  const { port, listener } = await listen((req): Promise<CallerAnswer> => {
    const found = serverAnswer(req.attemptId, true);
    if (found.kind !== 'server' || req.attemptId === 'two') return Promise.resolve(found);
    const headers = { name: 'line\nbreak' };
    return Promise.resolve({ ...found, answer: { ...found.answer, headers } });
  });
  const text = await exchange(port, get('/p/1', 'one') + get('/p/2', 'two', CLOSE_HEADER));
  expect(statuses(text)).toEqual(['502', '200']);
  expect(text.endsWith('\r\n\r\ntwo')).toEqual(true);
  await listener.drain();
});

// Guards against a request that the HTTP server itself answers with 417, and whose body it then reads
// without a bound.
test('a request with an unknown expectation is handled like any other', async () => {
  const { port, listener } = await listen((req) =>
    Promise.resolve(serverAnswer(req.attemptId, true)),
  );
  const text = await exchange(port, get('/p/1', 'one', `expect: foo\r\n${CLOSE_HEADER}`));
  expect(statuses(text)).toEqual(['200']);
  await listener.drain();
});

// Guards against input that reaches the parser that the HTTP server has given up after CONNECT; it
// fails, or belongs to another connection by then.
test('what follows CONNECT is not parsed while the connection waits for its last answer', async () => {
  const body = 'x'.repeat(8 << 20);
  const targets: string[] = [];
  const { port, listener } = await listen((req) => {
    targets.push(req.target);
    return Promise.resolve(serverAnswer(body, true));
  });
  const socket = connect(port, '127.0.0.1');
  const closed = new Promise((resolve) => socket.once('close', resolve));
  socket.on('error', () => undefined);
  socket.pause();
  listener.announceClose();
  socket.write(get('/p/1', 'one'));
  while (listener.unsentBytes() === 0) await nextTurn();
  const behind = get('/p/2', 'two').repeat(2);
  await new Promise((resolve) =>
    socket.write(`CONNECT a.example:80 HTTP/1.1\r\nhost: a.example\r\n\r\n${behind}`, resolve),
  );
  // A request on another connection is read after the bytes written before it.
  await exchange(port, get('/p/3', 'three', CLOSE_HEADER));
  socket.resume();
  await closed;
  expect(targets).toEqual(['/p/1', '/p/3']);
  await listener.drain();
});
