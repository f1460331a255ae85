import { test } from 'node:test';

import { RESULT_CODES, type ResultName, retryAfterOf } from '@boragepoint/config';
import { expect } from 'earl';

import { refusalResponse } from '../lib/callers/caller-answer.js';

const NAMES = Object.keys(RESULT_CODES) as ResultName[];

test('a refusal has a retry-after header whenever its result code requires one', () => {
  const withRetryAfter = NAMES.filter((it) => retryAfterOf(RESULT_CODES[it]) === 'yes');
  const withoutHeader = withRetryAfter.filter(
    (it) => !refusalResponse('id', it, '').headers.has('retry-after'),
  );
  expect(withRetryAfter.length > 0).toEqual(true);
  expect(withoutHeader).toEqual([]);
});

test('other refusals have a retry-after header only when the time is known', () => {
  expect(refusalResponse('id', 'badRequest', '').headers.has('retry-after')).toEqual(false);
  const known = refusalResponse('id', 'deadlinePassed', '', 1_500);
  expect(known.headers.get('retry-after')).toEqual('2');
});
