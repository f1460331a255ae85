import { test } from 'node:test';

import { ServerLimitSchema } from '@boragepoint/protocol';
import { create, toBinary } from '@bufbuild/protobuf';
import { expect } from 'earl';

import { createLimitExchange, decodeLimit, encodeLimit } from '../lib/limit-exchange.js';
import { createServerLimits } from '../lib/server-limits.js';

const A = { server: 'a', startedMs: 1 };

function createRouter(address: string, startedMs = 1) {
  const clocks = { monotonic: () => 1_000, timeOfDay: () => 1_000 };
  const limits = createServerLimits(clocks.monotonic);
  const log = { info: () => undefined, warn: () => undefined };
  const exchange = createLimitExchange({ limits, clocks, log, onLearned: () => undefined });
  return { address, startedMs, limits, exchange };
}

type Router = ReturnType<typeof createRouter>;

/** Reports once from a router to the leader; returns how many notices went each way. */
function report(from: Router, leader: Router) {
  const sharedUpTo = from.limits.change();
  const sent = from.exchange.reportFields(leader.address);
  leader.exchange.receive(from.address, { limits: sent.limits, startedMs: from.startedMs });
  const reply = leader.exchange.replyFields(from.address, sent.knownLimits);
  const answer = { ...reply, startedMs: leader.startedMs };
  from.exchange.noteAnswer(leader.address, sharedUpTo, answer);
  return { sent: sent.limits.length, received: reply.limits.length };
}

test('a limit that one router sees is known to all after their next report', () => {
  const [first, second, leader] = ['a:1', 'b:1', 'c:1'].map((it) => createRouter(it));
  if (!first || !second || !leader) return;
  first.limits.observe(A, 2);
  report(first, leader);
  report(second, leader);
  expect(second.limits.limitOf(A)).toEqual(2);
  expect(report(first, leader)).toEqual({ sent: 0, received: 0 });
  expect(report(second, leader)).toEqual({ sent: 0, received: 0 });
});

// Guards against limits that are forgotten with the leader that knew them.
test('a new leader learns the limits from the reports to it', () => {
  const [router, next] = [createRouter('a:1'), createRouter('c:1', 9)];
  const former = createRouter('c:1', 1);
  router.limits.observe(A, 2);
  report(router, former);
  // The next leader runs at the address of the former one, in another process.
  report(router, next);
  report(router, next);
  expect(next.limits.limitOf(A)).toEqual(2);
});

test('a limit that is no number is ignored', () => {
  const message = { server: 'a', startedMs: 1n, ageMs: 0 };
  expect(decodeLimit({ ...message, perS: NaN })).toEqual(undefined);
  expect(decodeLimit({ ...message, perS: -1 })).toEqual(undefined);
  expect(decodeLimit({ ...message, perS: Infinity })).toEqual(undefined);
  expect(decodeLimit(message)).toEqual({ server: 'a', startedMs: 1, perS: undefined, ageMs: 0 });
});

// Guards against a notice that no message can carry: every later report of the router threw.
test('a limit with a start or an age out of range is ignored or bounded', () => {
  const message = { server: 'a', startedMs: 1n, ageMs: 0 };
  expect(decodeLimit({ ...message, startedMs: 2n ** 63n - 1n })).toEqual(undefined);
  expect(decodeLimit({ ...message, startedMs: 2n ** 53n })).toEqual(undefined);
  expect(decodeLimit({ ...message, startedMs: -1n })).toEqual(undefined);
  const old = { server: 'a', startedMs: 1, perS: 2, ageMs: 2 ** 32 + 5 };
  expect(() => create(ServerLimitSchema, encodeLimit(old))).not.toThrow();
  expect(() =>
    toBinary(ServerLimitSchema, create(ServerLimitSchema, encodeLimit(old))),
  ).not.toThrow();
});
