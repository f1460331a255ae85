import { test } from 'node:test';

import { expect } from 'earl';

import {
  MAX_BACKOFF_MS,
  retryAfterBackoffMs,
  createUnsentAbort,
  isBackingOff,
  noteSent,
  noteAccepted,
  startBackoff,
} from '../lib/server-backoff.js';

const idle = () => ({
  backoffUntil: -Infinity,
  needsTrial: false,
  unsentAbort: createUnsentAbort(),
});

test('a server gets no requests while it asks for back-off, and a shorter one does not end a longer one', () => {
  const server = idle();
  startBackoff(server, 2_000, 0);
  startBackoff(server, 500, 100);
  expect(isBackingOff(server, 1_999)).toEqual(true);
  expect(isBackingOff(server, 2_000)).toEqual(false);
});

test('requests that wait for a connection to a server are cancelled when it asks for back-off', () => {
  const server = idle();
  const { signal } = server.unsentAbort;
  startBackoff(server, 2_000, 0);
  expect(signal.aborted).toEqual(true);
  expect(server.unsentAbort.signal.aborted).toEqual(false);
});

// Guards against a faulty server that asks for hours of back-off and gets no request in that time.
test('after the longest back-off one trial request is sent, and its success ends the back-off', () => {
  const server = idle();
  startBackoff(server, 1e12, 0);
  expect(isBackingOff(server, MAX_BACKOFF_MS - 1)).toEqual(true);
  expect(isBackingOff(server, MAX_BACKOFF_MS)).toEqual(false);
  noteSent(server, MAX_BACKOFF_MS);
  expect(isBackingOff(server, MAX_BACKOFF_MS + 1)).toEqual(true);
  noteAccepted(server);
  expect(isBackingOff(server, MAX_BACKOFF_MS + 2)).toEqual(false);
  noteSent(server, MAX_BACKOFF_MS + 3);
  expect(isBackingOff(server, MAX_BACKOFF_MS + 4)).toEqual(false);
});

test('callers retry after the earliest end, and not all at the same time', () => {
  const servers = [{ backoffUntil: 5_000 }, { backoffUntil: 3_000 }];
  expect(retryAfterBackoffMs(servers, 1_000, () => 0)).toEqual(2_000);
  expect(retryAfterBackoffMs(servers, 1_000, () => 0.99) > 2_300).toEqual(true);
});
