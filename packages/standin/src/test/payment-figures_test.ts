import { test } from 'node:test';

import { expect } from 'earl';

import { isFalseRefusal } from '../lib/faults/payment-figures.js';
import type { PaymentTry } from '../lib/faults/payment-try.js';

/** Creates a try that was open from `sentAt` to `at`; code 104 states that it has not run. */
function createTry(sentAt: number, at: number, status: number, code: number): PaymentTry {
  return { sentAt, patienceMs: 6_000, record: { at, status, code } } as unknown as PaymentTry;
}

const unknown = createTry(0, 100, 502, 201);
const refused = createTry(200, 300, 503, 104);

test('the last try is a false refusal if it was refused as not run but the payment ran', () => {
  expect(isFalseRefusal([unknown, refused], true)).toEqual(true);
});

test('a refusal of a payment that did not run, or an answer, is not a false refusal', () => {
  expect(isFalseRefusal([unknown, refused], false)).toEqual(false);
  expect(isFalseRefusal([unknown, createTry(200, 300, 200, 0)], true)).toEqual(false);
});

test('a refusal while another try is open is not a false refusal', () => {
  expect(isFalseRefusal([createTry(199, 2_900, 200, 0), refused], true)).toEqual(false);
});

test('a refusal is false if the earlier try had ended before the refused one was sent', () => {
  expect(isFalseRefusal([createTry(0, 199, 0, -1), refused], true)).toEqual(true);
});
