import { test } from 'node:test';

import { expect } from 'earl';

import { createChangeLog } from '../lib/change-log.js';

test('after() returns the changes with higher numbers, oldest first', () => {
  const log = createChangeLog();
  for (const number of [1, 2, 5, 6]) log.add(number, `run-${number}`);
  expect(log.after(2).map((it) => it.run)).toEqual(['run-5', 'run-6']);
  expect(log.after(0).length).toEqual(4);
  expect(log.after(6)).toEqual([]);
});

// Guards against filtering the whole log with each report although few of its entries are outdated.
test('the log is compacted only when it exceeds its maximum length', () => {
  const log = createChangeLog();
  let visits = 0;
  const isEven = ({ number }: { number: number }) => {
    visits += 1;
    return number % 2 === 0;
  };
  for (let number = 1; number <= 10; number += 1) log.add(number, 'run');
  log.compact(isEven, 10);
  expect(visits).toEqual(0);
  log.compact(isEven, 9);
  expect(visits).toEqual(10);
  expect(log.after(0).map((it) => it.number)).toEqual([2, 4, 6, 8, 10]);
});
