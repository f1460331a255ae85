import { test } from 'node:test';

import { expect } from 'earl';

import type { CallerRequest } from '../lib/caller-request.js';
import { type RetryInput, finalAnswer, hasCapacity, mayRetry } from '../lib/request-outcome.js';
import type { SendOutcome } from '../lib/send-request.js';
import type { PooledServer } from '../lib/server-pool.js';

const full = { running: 2, waiting: 8, slots: 2 };
const idle = { running: 1, waiting: 0, slots: 2 };

test('a server that sheds with a long queue is full, one with room may be tried again', () => {
  expect(hasCapacity(full)).toEqual(false);
  expect(hasCapacity(idle)).toEqual(true);
  expect(hasCapacity(undefined)).toEqual(false);
});

function requestOf(idempotent: boolean): CallerRequest {
  const cfg = { idempotent, maxAttempts: 2 };
  return {
    route: { cfg },
    disconnectSignal: new AbortController().signal,
  } as unknown as CallerRequest;
}

const NO_SIGNALS = { leaving: false, backoffMs: undefined };

function shed(load: typeof full): SendOutcome {
  const meta = { attemptId: 'a', notRun: true, signed: false, load, ...NO_SIGNALS };
  const answer = { status: 503, headers: {}, body: Buffer.alloc(0), framed: true, meta };
  return { kind: 'not-run', why: 'shed', answer };
}

const broken: SendOutcome = { kind: 'unknown', why: 'broken-off', detail: 'reset' };

function again(idempotent: boolean, outcome: SendOutcome, more: Partial<RetryInput> = {}): boolean {
  const input = { outcome, attemptCount: 1, hasOneOwner: false, crashes: 0, ...more };
  return mayRetry(requestOf(idempotent), input);
}

test('only an idempotent request is sent again when it may have run', () => {
  expect(again(true, broken)).toEqual(true);
  expect(again(false, broken)).toEqual(false);
});

test('a request that provably did not run is sent again, whatever its kind', () => {
  expect(again(false, shed(full))).toEqual(true);
  expect(again(false, { kind: 'not-run', why: 'refused' })).toEqual(true);
});

test('the owner of a key is tried again only if it had room', () => {
  expect(again(true, shed(full), { hasOneOwner: true })).toEqual(false);
  expect(again(true, shed(idle), { hasOneOwner: true })).toEqual(true);
});

test('nothing is sent beyond the attempts of the route or to a fourth server that may crash', () => {
  expect(again(true, broken, { attemptCount: 2 })).toEqual(false);
  expect(again(true, broken, { crashes: 3 })).toEqual(false);
});

const server = {
  entry: { id: 'i-1' },
  load: { totalInFlight: () => 4, serviceMs: () => 200, slots: () => 2 },
} as unknown as PooledServer;

function statusAfter(...outcomes: SendOutcome[]): number {
  const tries = outcomes.map((outcome) => ({ server, outcome }));
  const answer = finalAnswer(requestOf(false), tries, undefined, 0);
  return answer.kind === 'own' ? answer.status : 0;
}

test('"not run" is said only if no try may have run', () => {
  expect(statusAfter(shed(full))).toEqual(503);
  expect(statusAfter({ kind: 'not-run', why: 'unconnected' }, shed(full))).toEqual(503);
  expect(statusAfter(broken, shed(full))).toEqual(502);
  expect(statusAfter({ kind: 'unknown', why: 'cancelled', detail: '' })).toEqual(504);
});

test('a refusal by a full server says when its queue will have halved', () => {
  const answer = finalAnswer(requestOf(false), [{ server, outcome: shed(full) }], undefined, 0);
  expect(answer.kind === 'own' && answer.retryAfterMs).toEqual(200);
});
