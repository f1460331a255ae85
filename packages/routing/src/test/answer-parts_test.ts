import { test } from 'node:test';

import type { Assignment } from '@boragepoint/ownership';
import { expect } from 'earl';
import type { Dispatcher } from 'undici';

import type { RoutedRequest } from '../lib/dispatch/routed-request.js';
import { sendAttempt } from '../lib/dispatch/server-attempt.js';

const PARTS = 10_000;

/** Yields a part again and again, with other contents each time: a kept part would change. */
async function* reusedPart(count: number) {
  const part = Buffer.alloc(1);
  for (let index = 0; index < count; index += 1) {
    part[0] = index % 251;
    yield await Promise.resolve(part);
  }
}

/** Sends a request that is answered byte by byte, by so many bytes. */
function attempt(bytes: number) {
  const res = { statusCode: 200, headers: { 'bp-request-id': 'r1' }, body: reusedPart(bytes) };
  const client = { request: () => Promise.resolve(res) } as unknown as Dispatcher;
  const req = {
    requestId: 'r1',
    method: 'GET',
    path: '/a',
    headers: [],
    body: new Uint8Array(),
    service: { name: 's' },
    rule: { maxAnswerBytes: PARTS },
    deadlineAt: performance.now() + 5_000,
  } as unknown as RoutedRequest;
  const target = { shard: 1, epoch: 1n } as unknown as Assignment;
  return sendAttempt(client, req, target, new AbortController().signal);
}

// Guards against memory by the number of parts: an answer in chunks of one byte held an object, and
// the read that it came with, for each of them.
test('an answer that arrives byte by byte keeps none of its parts', async () => {
  const outcome = await attempt(PARTS);
  const body = outcome.kind === 'answered' ? Buffer.from(outcome.answer.body) : undefined;
  const expected = Buffer.from(Uint8Array.from({ length: PARTS }, (_, index) => index % 251));
  expect(body?.equals(expected)).toEqual(true);
});

test('an answer beyond the limit of its rule is too large', async () => {
  expect((await attempt(PARTS + 1)).kind).toEqual('too-large');
});
