import { test } from 'node:test';

import { expect } from 'earl';

import { createAnswerMemory } from '../lib/answer-memory.js';

test('an answer over its limit is aborted once', () => {
  const memory = createAnswerMemory(100, 1_000);
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
  const memory = createAnswerMemory(100, 150);
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
  const memory = createAnswerMemory(100, 150);
  let abortCount = 0;
  for (let index = 0; index < 50; index += 1) {
    using answer = memory.begin(() => (abortCount += 1));
    answer.grow(90);
  }
  expect(abortCount).toEqual(0);
});
