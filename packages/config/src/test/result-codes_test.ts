import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { expect } from 'earl';

import { RESULT_CODES, familyOf, httpStatusOf, nameOf, retryAfterOf } from '../index.js';

const PAGE = new URL('../../../../docs/RESULT-CODES.md', import.meta.url);
const ROW = /^\| (\d+) +\| (\w+) +\| ([a-z ]+?) +\| (\d+) +\| (yes|may|no) +\|/;

function documentedRows(): string[] {
  const lines = readFileSync(PAGE, 'utf8').split('\n');
  return lines.flatMap((line) => ROW.exec(line)?.slice(1).join(' | ') ?? []);
}

test('the table in the docs and the code agree on every code', () => {
  const rows = Object.values(RESULT_CODES).map((code) => {
    const family = familyOf(code).replace('-', ' ');
    return [code, nameOf(code), family, httpStatusOf(code), retryAfterOf(code)].join(' | ');
  });
  expect(documentedRows()).toEqual(rows);
});

test('no two names have the same number', () => {
  const codes = Object.values(RESULT_CODES);
  expect(new Set(codes).size).toEqual(codes.length);
});

test('an unknown outcome never has the status of a refusal that is safe to retry', () => {
  const unknown = Object.values(RESULT_CODES).filter((it) => familyOf(it) === 'outcome-unknown');
  expect(unknown.some((it) => httpStatusOf(it) === 503)).toEqual(false);
});
