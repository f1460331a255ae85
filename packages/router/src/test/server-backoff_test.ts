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

test('a server gets nothing for as long as it asked, and a shorter wish does not end a longer one', () => {
  const server = idle();
  startBackoff(server, 2_000, 0);
  startBackoff(server, 500, 100);
  expect(isBackingOff(server, 1_999)).toEqual(true);
  expect(isBackingOff(server, 2_000)).toEqual(false);
});

test('what waits for a connection to a server that asks for a pause is called off', () => {
  const server = idle();
  const { signal } = server.unsentAbort;
  startBackoff(server, 2_000, 0);
  expect(signal.aborted).toEqual(true);
  expect(server.unsentAbort.signal.aborted).toEqual(false);
});

// Guards against a server in trouble that asks for hours and never gets a request again.
test('after an absurd pause one request tries the server, and its success ends the pause', () => {
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

test('callers come back after the earliest end, and not all at one moment', () => {
  const servers = [{ backoffUntil: 5_000 }, { backoffUntil: 3_000 }];
  expect(retryAfterBackoffMs(servers, 1_000, () => 0)).toEqual(2_000);
  expect(retryAfterBackoffMs(servers, 1_000, () => 0.99) > 2_300).toEqual(true);
});
