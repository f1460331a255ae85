import { type Socket, connect } from 'node:net';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { expect } from 'earl';

import type { CallerAnswer } from '../lib/caller-answer.js';
import { CLOSE_HEADER, deferred, exchange, get, listen, serverAnswer } from './listener-harness.js';

const REQUESTS = 60;
/** Requests of one connection that may be in progress at the same time. */
const MAX_IN_PROGRESS = 16;

// Guards against a caller that sends many requests in a pipeline and reads slowly: all were passed on
// at once, and their answers took so much memory that the process was ended.
test('of requests in a pipeline, only some are in progress at the same time', async () => {
  const body = 'x'.repeat(1_000);
  let mostOpen = 0;
  const { port, listener } = await listen(() => {
    mostOpen = Math.max(mostOpen, listener.openRequests());
    return Promise.resolve(serverAnswer(body, true));
  });
  const requests = Array.from({ length: REQUESTS }, (_, index) =>
    get('/p/', `a-${index}`, index === REQUESTS - 1 ? CLOSE_HEADER : ''),
  );
  const received = await exchange(port, requests.join(''));
  await listener.drain();
  const answered = [...received.matchAll(/HTTP\/1.1 200/g)];
  expect(answered.length).toEqual(REQUESTS);
  expect(mostOpen).toEqual(MAX_IN_PROGRESS);
});

/** Ways in which a caller leaves. */
const LEAVES = {
  'resets its connection': (socket: Socket) => socket.resetAndDestroy(),
  'closes its connection': (socket: Socket) => socket.destroy(),
  'ends its sending side': (socket: Socket) => socket.end(),
} as const;

// Guards against requests that stay open for good: those that waited as their caller left were taken
// afterwards, on a connection that had ended.
for (const [title, leave] of Object.entries(LEAVES)) {
  test(`no request stays open, and none is handled any more, once a caller ${title}`, async () => {
    const gate = deferred<CallerAnswer>();
    let handled = 0;
    const { port, listener } = await listen(() => {
      handled += 1;
      return gate.promise;
    });
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    const requests = Array.from({ length: REQUESTS }, (_, index) => get('/p/', `a-${index}`));
    socket.write(requests.join(''));
    while (handled === 0) await nextTurn();
    const before = handled;
    leave(socket);
    while (listener.openRequests() > 0) await nextTurn();
    gate.resolve(serverAnswer('late', true));
    socket.destroy();
    while (listener.openConnections() > 0) await nextTurn();
    expect([handled, listener.openRequests()]).toEqual([before, 0]);
    await listener.drain();
  });
}
