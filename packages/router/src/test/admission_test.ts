import { test } from 'node:test';

import { expect } from 'earl';

import { type AdmissionInput, admit } from '../lib/admission.js';

const input = (changes: Partial<AdmissionInput>): AdmissionInput => ({
  expectedMs: 300,
  remainingMs: 2_500,
  objectiveMs: 800,
  serviceMs: 200,
  priority: 1,
  urgentObjectiveMs: Infinity,
  ...changes,
});

test('a request that will be answered in time is sent', () => {
  expect(admit(input({})).kind).toEqual('send');
});

test('a request whose answer is expected after its deadline is refused at once', () => {
  expect(admit(input({ expectedMs: 900, remainingMs: 800 })).kind).toEqual('refuse');
});

test('a queue far over the objective does not grow, and the refusal says when to retry', () => {
  const refused = admit(input({ expectedMs: 2_000 }));
  expect(refused).toEqual({ kind: 'refuse', retryAfterMs: 1_200 });
});

test('a slow server without a queue is used although it misses the objective', () => {
  expect(admit(input({ expectedMs: 1_500, serviceMs: 1_500 })).kind).toEqual('send');
});

test('a less urgent request is refused before a more urgent one', () => {
  const expectedMs = 1_000;
  expect(admit(input({ expectedMs, priority: 0 })).kind).toEqual('send');
  expect(admit(input({ expectedMs, priority: 3 })).kind).toEqual('refuse');
});

test('less urgent requests queue no longer than more urgent ones may wait', () => {
  const long = { objectiveMs: 1_000, serviceMs: 360, priority: 2, remainingMs: 6_000 };
  expect(admit(input({ ...long, expectedMs: 900 })).kind).toEqual('send');
  expect(admit(input({ ...long, expectedMs: 900, urgentObjectiveMs: 300 })).kind).toEqual('refuse');
  expect(admit(input({ ...long, expectedMs: 600, urgentObjectiveMs: 300 })).kind).toEqual('send');
});
