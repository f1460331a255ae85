import { test } from 'node:test';

import { expect } from 'earl';

import { CLOSE_HEADER, exchange, get, listen, serverAnswer } from './listener-harness.js';

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
