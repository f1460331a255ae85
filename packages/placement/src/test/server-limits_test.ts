import { test } from 'node:test';

import { expect } from 'earl';

import { createServerLimits } from '../lib/server-limits.js';
import { createFakeDirectory } from './fake-directory.js';

const A = { server: 'a', startedMs: 1 };

function setUp() {
  let now = 1_000;
  const limits = createServerLimits(() => now);
  return {
    limits,
    advance: (ms: number) => {
      now += ms;
    },
  };
}

test('a limit holds until an answer without one, and changes with the answer that changes it', () => {
  const { limits, advance } = setUp();
  expect(limits.observe(A, undefined)).toEqual('none');
  expect(limits.observe(A, 2)).toEqual('named');
  expect(limits.observe(A, 2)).toEqual('none');
  expect(limits.observe(A, 0)).toEqual('changed');
  expect(limits.limitOf(A)).toEqual(0);
  advance(500);
  expect(limits.observe(A, undefined)).toEqual('ended');
  expect(limits.limitOf(A)).toEqual(undefined);
});

// Guards against an answer that was written before the limit was named and arrives after it.
test('an overtaken answer does not end a limit', () => {
  const { limits, advance } = setUp();
  limits.observe(A, 2);
  advance(50);
  expect(limits.observe(A, undefined)).toEqual('none');
  expect(limits.limitOf(A)).toEqual(2);
});

test('a limit belongs to one incarnation', () => {
  const { limits } = setUp();
  limits.observe(A, 2);
  const next = { server: 'a', startedMs: 2 };
  expect(limits.limitOf(next)).toEqual(undefined);
  limits.observe(next, 5);
  expect(limits.observe(A, 1)).toEqual('none');
  expect(limits.limitOf(next)).toEqual(5);
});

test('of the notices of several routers the newest counts', () => {
  const { limits, advance } = setUp();
  limits.observe(A, 2);
  advance(1_000);
  expect(limits.merge([{ ...A, perS: 9, seenAt: 500 }])).toEqual([]);
  const ended = { ...A, perS: undefined, seenAt: 1_500 };
  expect(limits.merge([ended])).toEqual([ended]);
  expect(limits.limitOf(A)).toEqual(undefined);
});

test('only changes are news for other routers', () => {
  const { limits, advance } = setUp();
  limits.observe(A, 2);
  const known = limits.change();
  advance(1_000);
  limits.observe(A, 2);
  expect(limits.since(known)).toEqual([]);
  limits.observe(A, 3);
  expect(limits.since(known).map((it) => it.perS)).toEqual([3]);
});

test('notices of replaced incarnations are dropped, and those of unlisted servers after a time', () => {
  const { limits, advance } = setUp();
  limits.observe(A, 2);
  limits.prune(createFakeDirectory([]));
  expect(limits.limitOf(A)).toEqual(2);
  advance(60_000);
  limits.prune(createFakeDirectory([]));
  expect(limits.limitOf(A)).toEqual(undefined);
});
