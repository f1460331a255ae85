import { test } from 'node:test';

import { expect } from 'earl';

import { hasRoom } from '../lib/request-handler.js';

test('a server that sheds with a long queue is full', () => {
  expect(hasRoom({ running: 2, waiting: 8, slots: 2 })).toEqual(false);
});

test('a server that sheds although it has room may be tried again', () => {
  expect(hasRoom({ running: 1, waiting: 0, slots: 2 })).toEqual(true);
});

test('nothing is assumed of a server that does not tell its load', () => {
  expect(hasRoom(undefined)).toEqual(false);
});
