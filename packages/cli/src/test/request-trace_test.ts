import { test } from 'node:test';

import { expect } from 'earl';

import { parseLogLines } from '../lib/log-lines.js';
import { traceRequest } from '../lib/request-trace.js';

const logLine = (second: number, router: string, message: string, fields: object = {}) =>
  JSON.stringify({
    time: `2026-02-03T11:55:${String(second).padStart(2, '0')}.000Z`,
    level: 'info',
    router,
    message,
    ...fields,
  });

const tries = [{ server: 'i-1', outcome: 'unknown' }];
const log = [
  logLine(30, 'r2', 'backend server ended', { server: 'i-1' }),
  logLine(29, 'r2', 'backend server ended', { server: 'i-9' }),
  `  3.7320 r1 ${logLine(31, 'r1', 'request', { request: 'a', key: 7, tries })}`,
  logLine(28, 'r2', 'range handed over', { first: 0, last: 9, from: ['i-0'], to: 'i-1' }),
  logLine(28, 'r2', 'range handed over', { first: 10, last: 19, from: ['i-0'], to: 'i-1' }),
  logLine(31, 'r1', 'request', { request: 'b', key: 7, tries }),
  logLine(27, 'r1', 'configuration watch lost'),
  logLine(10, 'r1', 'started'),
  'no log line {',
].join('\n');

test('traceRequest returns the lines of a request and related lines, oldest first', () => {
  const related = traceRequest(parseLogLines(log), 'a');
  expect(related.map((it) => it.message)).toEqual([
    'configuration watch lost',
    'range handed over',
    'backend server ended',
    'request',
  ]);
});

test('traceRequest returns nothing for a request that no line names', () => {
  expect(traceRequest(parseLogLines(log), 'c')).toEqual([]);
});
