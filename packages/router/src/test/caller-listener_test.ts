import { request } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';

import { expect } from 'earl';

import { createCallerListener } from '../lib/caller-listener.js';
import type { CallerRequest } from '../lib/caller-request.js';
import { createRouteTable } from '../lib/route-table.js';
import { type CallerAnswer, ownAnswer } from '../lib/caller-answer.js';
import {
  CLOSE_HEADER,
  cfg,
  codec,
  deferred,
  exchange,
  freePort,
  get,
  listen,
  serverAnswer,
  unexpectedErrors,
} from './listener-harness.js';

test('pipelined requests are answered in order', async () => {
  const secondStarted = deferred<undefined>();
  const { port, listener } = await listen(async (req) => {
    // A busy router may begin with the second request.
    if (req.attemptId === 'one') await secondStarted.promise;
    else secondStarted.resolve(undefined);
    return serverAnswer(req.attemptId, true);
  });
  const text = await exchange(port, get('/p/1', 'one') + get('/p/2', 'two', CLOSE_HEADER));
  expect(text.indexOf('\r\n\r\none') < text.indexOf('\r\n\r\ntwo')).toEqual(true);
  await listener.drain();
});

// Guards against an answer that the caller takes for whole when the router ends while it writes it,
// and against requests behind it that end without an answer though a server ran them.
test('an answer that came without a length is passed on with one, and the connection goes on', async () => {
  const { port, listener } = await listen((req) =>
    Promise.resolve(serverAnswer(req.attemptId, false)),
  );
  const text = await exchange(port, get('/p/1', 'one') + get('/p/2', 'second', CLOSE_HEADER));
  const first = text.slice(0, text.indexOf('\r\n\r\none')).toLowerCase();
  expect(first.includes('content-length: 3\r\n')).toEqual(true);
  expect(first.includes('connection: close')).toEqual(false);
  expect(text.includes('content-length: 6\r\n')).toEqual(true);
  expect(text.endsWith('\r\n\r\nsecond')).toEqual(true);
  await listener.drain();
});

const BODILESS = [
  { name: 'to HEAD with a length', method: 'HEAD', status: 200, stated: '14', passedOn: '14' },
  { name: 'to HEAD without one', method: 'HEAD', status: 200, stated: undefined },
  { name: '204', method: 'GET', status: 204, stated: undefined },
  { name: '204 with a length', method: 'GET', status: 204, stated: '14' },
  { name: '304', method: 'GET', status: 304, stated: undefined },
  { name: '304 with a length', method: 'GET', status: 304, stated: '14' },
] as const;

for (const it of BODILESS) {
  // Guards against a length of 0, or chunks, on an answer whose body is left out.
  test(`an answer that can have no body states no length of its own: ${it.name}`, async () => {
    const { port, listener } = await listen(() => {
      const found = serverAnswer('', true);
      if (found.kind !== 'server') return Promise.resolve(found);
      const headers = { signature: 's', ...(it.stated && { 'content-length': it.stated }) };
      return Promise.resolve({ ...found, answer: { ...found.answer, status: it.status, headers } });
    });
    const head = get('/p/1', 'one').replace('GET', it.method);
    const text = await exchange(port, head + get('/p/2', 'two', CLOSE_HEADER));
    const answers = text.toLowerCase().split('\r\n\r\n');
    const length = /content-length: (.*)/.exec(answers[0] ?? '')?.[1];
    expect(length).toEqual('passedOn' in it ? it.passedOn : undefined);
    expect(answers[0]?.includes('transfer-encoding')).toEqual(false);
    expect(answers[1]?.startsWith('http/1.1 ')).toEqual(true);
    await listener.drain();
  });
}

test('a refusal has a retry-after time and the id of the request', async () => {
  const { port, listener } = await listen(() =>
    Promise.resolve(ownAnswer('overloaded', 'full', 250)),
  );
  const text = await exchange(port, get('/p/1', 'a', CLOSE_HEADER));
  expect(text.startsWith('HTTP/1.1 503')).toEqual(true);
  expect(text.includes('retry-after: 0.250')).toEqual(true);
  expect(text.includes('attempt: a')).toEqual(true);
  await listener.drain();
});

test('without a configuration callers are told to retry, not that there is no route', async () => {
  const port = await freePort();
  const listener = await createCallerListener(
    {
      codec,
      routes: () => undefined,
      handle: () => Promise.resolve(serverAnswer('', true)),
      now: () => performance.now(),
      stopsAt: () => Infinity,
      readDelayMs: () => 0,
      onAnswer: () => undefined,
      onWaited: () => undefined,
      onUnexpectedError: (err) => unexpectedErrors.push(err),
      onConnectionClosed: () => undefined,
    },
    '127.0.0.1',
    port,
  );
  const text = await exchange(port, get('/p/1', 'a', CLOSE_HEADER));
  expect(text.startsWith('HTTP/1.1 503')).toEqual(true);
  await listener.drain();
});

test('a path without a route and a body over the limit are refused with their own codes', async () => {
  const { port, listener } = await listen(() => Promise.resolve(serverAnswer('', true)));
  const unknown = await exchange(port, get('/other/', 'a', CLOSE_HEADER));
  expect(unknown.startsWith('HTTP/1.1 404')).toEqual(true);
  const large = `POST /p/1 HTTP/1.1\r\nhost: a.example\r\nattempt: a\r\ncontent-length: 11\r\n\r\n`;
  const refused = await exchange(port, `${large}01234567890`);
  expect(refused.startsWith('HTTP/1.1 413')).toEqual(true);
  await listener.drain();
});

test('a body in chunks reaches the handler whole', async () => {
  let body = '';
  const { port, listener } = await listen((req) => {
    body = String(req.body);
    return Promise.resolve(serverAnswer('', true));
  });
  const head = `POST /p/1 HTTP/1.1\r\nhost: a.example\r\nattempt: a\r\n${CLOSE_HEADER}`;
  const chunks = '3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n';
  await exchange(port, `${head}transfer-encoding: chunked\r\n\r\n${chunks}`);
  expect(body).toEqual('abcde');
  await listener.drain();
});

// Guards against a router that ends because several large bodies come at once.
test('a large body for which there is no room is refused at once, and its connection stays usable', async () => {
  const largeBytes = 100 << 20;
  const limits = { ...cfg.limits, maxBodyBytes: 2 * largeBytes };
  const routes = createRouteTable({ ...cfg, limits });
  const { port, listener } = await listen(() => Promise.resolve(serverAnswer('', true)), routes);
  const post = (id: string) =>
    `POST /p/1 HTTP/1.1\r\nhost: a.example\r\nattempt: ${id}\r\ncontent-length: ${largeBytes}\r\n\r\n`;
  const first = connect(port, '127.0.0.1');
  first.write(`${post('one')}x`);
  while (listener.openRequests() === 0) await new Promise((resolve) => setImmediate(resolve));
  const second = connect(port, '127.0.0.1');
  let received = '';
  const answered = new Promise((resolve) => second.once('data', resolve));
  second.on('data', (chunk) => (received += String(chunk)));
  second.write(`${post('two')}x`);
  await answered;
  expect(received.startsWith('HTTP/1.1 503')).toEqual(true);
  expect(received.includes('retry-after: 1.000')).toEqual(true);
  expect(received.toLowerCase().includes('connection: close')).toEqual(false);
  for (const socket of [first, second]) socket.destroy();
  await listener.drain();
});

// Guards against requests that are passed on late in the grace period and cut off at its end: one whose
// body came late was given its whole time, as if the router went on.
test('a request that arrives while the router stops is to be answered before its end', async () => {
  let answerBy = Infinity;
  const handle = (req: CallerRequest) => {
    answerBy = req.answerBy;
    return Promise.resolve(serverAnswer('', true));
  };
  const stopsAt = performance.now() + 500;
  const { port, listener } = await listen(handle, createRouteTable(cfg), 0, stopsAt);
  await exchange(port, get('/p/1', 'a', CLOSE_HEADER));
  expect(answerBy).toEqual(stopsAt);
  await listener.drain();
});

// Guards against answers that are cut off at a stop: a connection whose answer had been handed over
// but not written yet counted as idle and was destroyed, with the answers behind it.
test('a caller that is still reading its answers when the router drains gets them whole', async () => {
  const body = 'x'.repeat(8 << 20);
  let handled = 0;
  const allHandled = deferred<undefined>();
  const { port, listener } = await listen(() => {
    handled += 1;
    if (handled === 2) allHandled.resolve(undefined);
    return Promise.resolve(serverAnswer(body, true));
  });
  const socket = connect(port, '127.0.0.1');
  const ended = new Promise((resolve) => socket.on('close', resolve));
  socket.write(get('/p/1', 'one') + get('/p/2', 'two'));
  socket.pause();
  await allHandled.promise;
  const drained = listener.drain();
  let received = 0;
  socket.on('data', (chunk) => (received += chunk.length));
  socket.resume();
  await Promise.all([drained, ended]);
  expect(received > 2 * body.length).toEqual(true);
});

test('a drain closes idle connections at once', async () => {
  const { port, listener } = await listen(() => Promise.resolve(serverAnswer('a', true)));
  const socket = connect(port, '127.0.0.1');
  const answered = new Promise((resolve) => socket.once('data', resolve));
  const ended = new Promise((resolve) => socket.on('close', resolve));
  socket.write(get('/p/1', 'one'));
  await answered;
  await Promise.all([listener.drain(), ended]);
  expect(listener.openRequests()).toEqual(0);
});

test('a caller that disconnects cancels its request', async () => {
  const started = deferred<CallerRequest>();
  const { port, listener } = await listen(
    (req) =>
      new Promise<CallerAnswer>((resolve) => {
        req.disconnectSignal.addEventListener('abort', () => {
          resolve({ kind: 'none' });
        });
        started.resolve(req);
      }),
  );
  const outgoing = request({
    port,
    host: '127.0.0.1',
    path: '/p/1',
    headers: { attempt: 'a', host: 'a.example' },
  });
  outgoing.on('error', () => undefined);
  outgoing.end();
  const { disconnectSignal } = await started.promise;
  outgoing.destroy();
  if (!disconnectSignal.aborted)
    await new Promise((resolve) => {
      disconnectSignal.addEventListener('abort', resolve);
    });
  expect(disconnectSignal.aborted).toEqual(true);
  await listener.drain();
});

test('draining answers the request in progress and closes its connection', async () => {
  const started = deferred<undefined>();
  const release = deferred<undefined>();
  const { port, listener } = await listen(async () => {
    started.resolve(undefined);
    await release.promise;
    return serverAnswer('late', true);
  });
  const answered = exchange(port, get('/p/1', 'a'));
  await started.promise;
  listener.announceClose();
  const drained = listener.drain();
  release.resolve(undefined);
  const text = await answered;
  await drained;
  expect(text.toLowerCase().includes('connection: close')).toEqual(true);
  expect(text.endsWith('late')).toEqual(true);
});

test('requests that were accepted before the close was announced are all answered', async () => {
  const bothStarted = deferred<undefined>();
  const release = deferred<undefined>();
  let started = 0;
  const { port, listener } = await listen(async (req) => {
    started += 1;
    if (started === 2) bothStarted.resolve(undefined);
    await release.promise;
    return serverAnswer(req.attemptId, true);
  });
  const answered = exchange(port, get('/p/1', 'one') + get('/p/2', 'two'));
  await bothStarted.promise;
  listener.announceClose();
  release.resolve(undefined);
  const text = await answered;
  expect(text.includes('\r\n\r\none') && text.endsWith('\r\n\r\ntwo')).toEqual(true);
  await listener.drain();
});

test('a pipelined request is not accepted once the close is announced', async () => {
  const started = deferred<undefined>();
  const release = deferred<undefined>();
  const taken: string[] = [];
  const { port, listener } = await listen(async (req) => {
    taken.push(req.attemptId);
    started.resolve(undefined);
    await release.promise;
    return serverAnswer(req.attemptId, true);
  });
  const socket = connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', (chunk) => {
    text += chunk.toString();
  });
  const closed = new Promise((resolve) => socket.on('close', resolve));
  socket.write(get('/p/1', 'one'));
  await started.promise;
  listener.announceClose();
  await new Promise<void>((resolve) => {
    socket.write(get('/p/2', 'two'), () => {
      resolve();
    });
  });
  // A request on another connection is read after the bytes written before it.
  const other = exchange(port, get('/p/3', 'three', CLOSE_HEADER));
  release.resolve(undefined);
  await other;
  await closed;
  expect(taken).toEqual(['one', 'three']);
  expect(text.toLowerCase().includes('connection: close')).toEqual(true);
  expect(text.endsWith('\r\n\r\none')).toEqual(true);
  await listener.drain();
});

// Guards against an answer lost on shutdown: a request pipelined behind one that was not accepted
// was forwarded, and its answer could never be written.
test('an answer that was ready before the close was announced still closes its connection', async () => {
  const release = deferred<undefined>();
  const secondStarted = deferred<undefined>();
  const { port, listener } = await listen(async (req) => {
    if (req.attemptId === 'one') await release.promise;
    if (req.attemptId === 'two') secondStarted.resolve(undefined);
    return serverAnswer(req.attemptId, true);
  });
  const socket = connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', (chunk) => {
    text += String(chunk);
    // A caller that has both answers reuses the connection, unless an answer said that it closes.
    const isOpen = text.includes('\r\n\r\ntwo') && !text.includes('connection: close');
    if (isOpen && !text.includes('four')) socket.write(get('/p/4', 'four', CLOSE_HEADER));
  });
  const closed = new Promise((resolve) => socket.on('close', resolve));
  socket.write(get('/p/1', 'one') + get('/p/2', 'two'));
  await secondStarted.promise;
  // The second answer is ready once a later request on another connection has been answered.
  await exchange(port, get('/p/6', 'six', CLOSE_HEADER));
  listener.announceClose();
  await new Promise<void>((resolve) => {
    socket.write(get('/p/3', 'three'), () => {
      resolve();
    });
  });
  // A request on another connection is read after the bytes written before it.
  await exchange(port, get('/p/5', 'five', CLOSE_HEADER));
  release.resolve(undefined);
  await closed;
  expect(text.indexOf('\r\n\r\none') < text.indexOf('\r\n\r\ntwo')).toEqual(true);
  expect(text.toLowerCase().includes('connection: close')).toEqual(true);
  expect(text.endsWith('\r\n\r\ntwo')).toEqual(true);
  await listener.drain();
});

// Guards against an answer lost at the end of a shutdown: it was ready, but the process ended while
// it still waited for an earlier answer of its connection.
test('an answer that is ready is written before the end, although an earlier one is not ready', async () => {
  const bothStarted = deferred<undefined>();
  const { port, listener } = await listen((req) => {
    if (req.attemptId === 'one') return new Promise<CallerAnswer>(() => undefined);
    bothStarted.resolve(undefined);
    return Promise.resolve(serverAnswer(req.attemptId, true));
  });
  const answered = exchange(port, get('/p/1', 'one') + get('/p/2', 'two'));
  await bothStarted.promise;
  await exchange(port, get('/p/6', 'six', CLOSE_HEADER));
  listener.announceClose();
  const drained = listener.drain();
  listener.abortBlockingRequests();
  const text = await answered;
  await drained;
  expect(text.startsWith('HTTP/1.1 504')).toEqual(true);
  expect(text.endsWith('\r\n\r\ntwo')).toEqual(true);
});

// Guards against requests that a router reads late and forwards with their full deadline.
test('a request that may have waited to be read has less time remaining', async () => {
  let leftMs = 0;
  const { port, listener } = await listen(
    (req) => {
      leftMs = req.answerBy - performance.now();
      return Promise.resolve(serverAnswer('late', true));
    },
    undefined,
    700,
  );
  await exchange(port, get('/p/1', 'a', CLOSE_HEADER));
  expect(leftMs <= 300).toEqual(true);
  await listener.drain();
});

// Guards against an unexpected error in one request that ends the process.
test('a handler that throws fails its own request only', async () => {
  const { port, listener } = await listen((req) => {
    if (req.attemptId === 'bad') throw new TypeError('unforeseen');
    return Promise.resolve(serverAnswer('good', true));
  });
  const before = unexpectedErrors.length;
  const bad = await exchange(port, get('/p/1', 'bad', CLOSE_HEADER));
  expect(bad.startsWith('HTTP/1.1 502')).toEqual(true);
  expect(unexpectedErrors.length).toEqual(before + 1);
  const good = await exchange(port, get('/p/1', 'b', CLOSE_HEADER));
  expect(good.endsWith('good')).toEqual(true);
  await listener.drain();
});

// Guards against a malformed answer of a server that ends the process.
test('an answer that can not be passed on fails its own request only', async () => {
  const { port, listener } = await listen((req) => {
    const found = serverAnswer('good', true);
    if (found.kind !== 'server' || req.attemptId === 'b') return Promise.resolve(found);
    const isStatus = req.attemptId === 'status';
    const headers = isStatus ? {} : { name: 'line\nbreak' };
    const status = isStatus ? 42 : 200;
    return Promise.resolve({ ...found, answer: { ...found.answer, status, headers } });
  });
  const status = await exchange(port, get('/p/1', 'status', CLOSE_HEADER));
  expect(status.startsWith('HTTP/1.1 502')).toEqual(true);
  const header = await exchange(port, get('/p/1', 'header', CLOSE_HEADER)).catch(() => '');
  expect(header.includes('200 OK')).toEqual(false);
  const good = await exchange(port, get('/p/1', 'b', CLOSE_HEADER));
  expect(good.endsWith('good')).toEqual(true);
  await listener.drain();
});

// Guards against forwarding requests whose callers disconnected before a busy router read them.
test('a request that was read late is not handled if its caller has disconnected meanwhile', async () => {
  const handled: string[] = [];
  const { port, listener } = await listen(
    (req) => {
      handled.push(req.attemptId);
      return Promise.resolve(serverAnswer('late', true));
    },
    undefined,
    700,
  );
  const leavingSocket = connect(port, '127.0.0.1');
  const left = new Promise((resolve) => leavingSocket.on('close', resolve));
  leavingSocket.end(get('/p/1', 'left'));
  await left;
  await exchange(port, get('/p/2', 'stayed', CLOSE_HEADER));
  expect(handled).toEqual(['stayed']);
  await listener.drain();
});
