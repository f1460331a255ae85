import { type AddressInfo, type Socket, createServer } from 'node:net';
import { after, before, test } from 'node:test';

import type { Assignment } from '@boragepoint/ownership';
import { createHttpObjectStore } from '@boragepoint/platform';
import { expect } from 'earl';

import type { RoutedRequest } from '../lib/dispatch/routed-request.js';
import { type AttemptOutcome, sendAttempt } from '../lib/dispatch/server-attempt.js';
import { createServerLinks } from '../lib/dispatch/server-links.js';
import { FakeClock } from './fake-clock.js';

const HEAD = 'HTTP/1.1 200 OK\r\nbp-request-id: r1\r\nconnection: close\r\n\r\n';
const BODY = 'x'.repeat(1_000);
const TRIES = 20;
const MAX_ANSWER_BYTES = 10_000;

/** Sends an answer without a length, and ends its connection. */
type Answering = (socket: Socket) => void;

const breakOff: Answering = (socket) => {
  socket.write(HEAD + BODY.slice(0, BODY.length / 2), () => {
    setImmediate(() => socket.resetAndDestroy());
  });
};

const sendWhole: Answering = (socket) => {
  socket.end(HEAD + BODY);
};

let answering: Answering = sendWhole;
const server = createServer((socket) => {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    answering(socket);
  });
});

before(() => new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve)));
after(() => server.close());

const address = () => `127.0.0.1:${(server.address() as AddressInfo).port}`;

function linkToServer(links: ReturnType<typeof createServerLinks>) {
  const options = { id: 'a', address: address(), connections: 4, slots: 4 };
  return links.linkTo(options as Parameters<typeof links.linkTo>[0]);
}

async function attempt(links: ReturnType<typeof createServerLinks>): Promise<AttemptOutcome> {
  const { pool } = linkToServer(links);
  const req = {
    requestId: 'r1',
    method: 'GET',
    path: '/a',
    headers: [],
    body: new Uint8Array(),
    service: { name: 's' },
    rule: { maxAnswerBytes: MAX_ANSWER_BYTES },
    deadlineAt: performance.now() + 5_000,
  } as unknown as RoutedRequest;
  const target = { shard: 1, epoch: 1n } as unknown as Assignment;
  return sendAttempt(pool, req, target, new AbortController().signal);
}

async function outcomes(next: Answering): Promise<readonly AttemptOutcome['kind'][]> {
  answering = next;
  await using links = createServerLinks(new FakeClock());
  const kinds: AttemptOutcome['kind'][] = [];
  for (let index = 0; index < TRIES; index += 1) kinds.push((await attempt(links)).kind);
  return [...new Set(kinds)];
}

// Guards against a part of an answer that is given out as whole: without a length, the HTTP library
// reports the end of a connection that was reset as the end of the answer.
test('an answer without a length whose connection is reset is lost', async () => {
  expect(await outcomes(breakOff)).toEqual(['connection-lost']);
});

// Guards against bytes that are no answer and are taken for one: HTTP has no such status.
test('an answer whose status is none of HTTP is no answer', async () => {
  for (const status of ['000', '099', '600', '999']) {
    const [kind] = await outcomes((socket) => {
      socket.end(HEAD.replace('200', status) + BODY);
    });
    expect(kind === 'answered').toEqual(false);
  }
});

test('an answer without a length whose connection ends in order is whole', async () => {
  expect(await outcomes(sendWhole)).toEqual(['answered']);
});

// Guards against a part of an object that is taken for the object.
test('an object without a length whose connection is reset is not read', async () => {
  answering = breakOff;
  await using links = createServerLinks(new FakeClock());
  const store = createHttpObjectStore(linkToServer(links).pool);
  for (let index = 0; index < TRIES; index += 1) {
    expect((await store.get('k')).isErr()).toEqual(true);
  }
  answering = sendWhole;
  const whole = (await store.get('k'))._unsafeUnwrap();
  expect(whole?.length).toEqual(BODY.length);
});
