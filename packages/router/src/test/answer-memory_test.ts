import { test } from 'node:test';

import { expect } from 'earl';

import { createAnswerMemory } from '../lib/answer-memory.js';
import { createClientBudget } from '../lib/client-budget.js';

test('an answer over its limit is aborted once', () => {
  const memory = createAnswerMemory({ maxAnswerBytes: 100, maxBufferedBytes: 1_000 });
  let abortCount = 0;
  const answer = memory.begin(() => (abortCount += 1));
  answer.grow(100);
  expect(abortCount).toEqual(0);
  answer.grow(101);
  answer.grow(151);
  expect(abortCount).toEqual(1);
});

// Guards against small answers that fail because endless ones use up the memory limit.
test('when all answers together exceed the limit, the largest is aborted and small ones continue', () => {
  const memory = createAnswerMemory({ maxAnswerBytes: 100, maxBufferedBytes: 150 });
  const aborted: string[] = [];
  const large = memory.begin(() => aborted.push('large'));
  const small = memory.begin(() => aborted.push('small'));
  large.grow(90);
  small.grow(40);
  expect(aborted).toEqual([]);
  small.grow(70);
  expect(aborted).toEqual(['large']);
});

test('a complete answer takes no memory', () => {
  const memory = createAnswerMemory({ maxAnswerBytes: 100, maxBufferedBytes: 150 });
  let abortCount = 0;
  for (let index = 0; index < 50; index += 1) {
    using answer = memory.begin(() => (abortCount += 1));
    answer.grow(90);
  }
  expect(abortCount).toEqual(0);
});

const KIBIBYTE = 1 << 10;

// Guards against answers that take 16 MiB of a small instance, beside all that is held for clients.
test('answers take no more than their part of the budget, and one large answer alone has room', () => {
  const budget = createClientBudget(1_000 * KIBIBYTE);
  const memory = createAnswerMemory({ budget });
  const aborted: string[] = [];
  using alone = memory.begin(() => aborted.push('alone'));
  expect(alone.grow(900 * KIBIBYTE)).toEqual(true);
  using small = memory.begin(() => aborted.push('small'));
  expect(small.grow(KIBIBYTE)).toEqual(true);
  expect(aborted).toEqual(['alone']);
  expect(budget.held('responses')).toEqual(KIBIBYTE);
  small[Symbol.dispose]();
  expect(budget.held('responses')).toEqual(0);
});

// Guards against small answers that fail because clients use up the budget.
test('large answers are aborted when the budget is used up, small ones are not', () => {
  const budget = createClientBudget(1_000 * KIBIBYTE);
  const memory = createAnswerMemory({ budget });
  const aborted: string[] = [];
  using large = memory.begin(() => aborted.push('large'));
  using small = memory.begin(() => aborted.push('small'));
  large.grow(60 * KIBIBYTE);
  budget.add('bodies', 500 * KIBIBYTE);
  budget.add('answers', 500 * KIBIBYTE);
  small.grow(50 * KIBIBYTE);
  expect(aborted).toEqual([]);
  large.grow(70 * KIBIBYTE);
  expect(aborted).toEqual(['large']);
});

// Guards against buffers of aborted answers that wait for V8's own count of bytes.
test('bytes of large answers that are not used any more are noted as garbage', () => {
  const noted = { read: 0, released: 0 };
  const pace = {
    noteRead: (bytes: number) => (noted.read += bytes),
    noteReleased: (bytes: number) => (noted.released += bytes),
  };
  const room = createAnswerMemory({ pace }).begin(() => undefined);
  room.noteCopied(5);
  room.noteReplaced(7);
  expect(noted).toEqual({ read: 5, released: 7 });
});
