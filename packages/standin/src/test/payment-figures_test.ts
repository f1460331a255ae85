import { test } from 'node:test';

import { expect } from 'earl';

import { isFalseRefusal } from '../lib/faults/payment-figures.js';
import type { PaymentTry } from '../lib/faults/payment-try.js';

/** A try of one payment that was open from `sentAt` to `at`; code 104 promises that it has not run. */
function attempt(sentAt: number, at: number, status: number, code: number): PaymentTry {
  return { sentAt, patienceMs: 6_000, record: { at, status, code } } as unknown as PaymentTry;
}

const unknown = attempt(0, 100, 502, 201);
const refused = attempt(200, 300, 503, 104);

test('a last try that was told not run of a payment that ran is a false refusal', () => {
  expect(isFalseRefusal([unknown, refused], true)).toEqual(true);
});

test('a payment that did not run may be refused, and one that was answered is no refusal', () => {
  expect(isFalseRefusal([unknown, refused], false)).toEqual(false);
  expect(isFalseRefusal([unknown, attempt(200, 300, 200, 0)], true)).toEqual(false);
});

test('a refusal beside a try that is still open speaks for itself only', () => {
  expect(isFalseRefusal([attempt(199, 2_900, 200, 0), refused], true)).toEqual(false);
});

test('a try that ended before the refused one began does not excuse it', () => {
  expect(isFalseRefusal([attempt(0, 199, 0, -1), refused], true)).toEqual(true);
});
