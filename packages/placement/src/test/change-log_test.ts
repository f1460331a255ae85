import { test } from 'node:test';

import { expect } from 'earl';

import { createChangeLog } from '../lib/change-log.js';

test('what changed after a number is found, oldest first', () => {
  const log = createChangeLog();
  for (const number of [1, 2, 5, 6]) log.add(number, `run-${number}`);
  expect(log.after(2).map((it) => it.run)).toEqual(['run-5', 'run-6']);
  expect(log.after(0).length).toEqual(4);
  expect(log.after(6)).toEqual([]);
});

// Guards against a log that is looked through with each report although little of it is out of date.
test('the log is cleaned only once it is too long', () => {
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
