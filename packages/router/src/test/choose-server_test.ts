import { test } from 'node:test';

import { expect } from 'earl';

import { type ServerCandidate, chooseServer, expectedMs } from '../lib/choose-server.js';

const options = { objectiveMs: 800, random: () => 0.5 };

function candidate(id: string, changes: Partial<ServerCandidate> = {}): ServerCandidate {
  return {
    id,
    inFlight: 0,
    slots: 2,
    serviceMs: 200,
    measuredServiceMs: changes.serviceMs ?? 200,
    measuredWeight: 10,
    failureRate: 0,
    distance: 0,
    warmUpRemaining: 0,
    oldestInFlightMs: 0,
    ...changes,
  };
}

const chosen = (...candidates: ServerCandidate[]) => chooseServer(candidates, options)?.id;

test('an idle server is chosen before a busy one', () => {
  expect(chosen(candidate('busy', { inFlight: 3 }), candidate('idle'))).toEqual('idle');
});

test('a fast server with a short queue is chosen before a slow idle one', () => {
  const fast = candidate('fast', { serviceMs: 100, inFlight: 2 });
  expect(chosen(candidate('slow', { serviceMs: 500 }), fast)).toEqual('fast');
});

test('a near server is chosen while its queue is short, a far one when it is long', () => {
  const far = candidate('far', { distance: 0.5 });
  expect(chosen(candidate('near', { inFlight: 3 }), far)).toEqual('near');
  expect(chosen(candidate('near', { inFlight: 8 }), far)).toEqual('far');
});

test('a server in the own zone is chosen before one in the next zone, and that one before a far one', () => {
  const next = candidate('next', { distance: 0.1 });
  const far = candidate('far', { distance: 0.5 });
  expect(chosen(far, next, candidate('own', { inFlight: 1 }))).toEqual('own');
  expect(chosen(far, next, candidate('own', { inFlight: 3 }))).toEqual('next');
  expect(chosen(far, { ...next, inFlight: 8 }, candidate('own', { inFlight: 9 }))).toEqual('far');
});

test('a busier warm server is chosen before one that has just started, but not before a nearly warm one', () => {
  const warm = candidate('warm', { inFlight: 1 });
  expect(chosen(candidate('cold', { warmUpRemaining: 1 }), warm)).toEqual('warm');
  expect(chosen(candidate('cold', { warmUpRemaining: 0.2 }), warm)).toEqual('cold');
});

test('a server that sheds or fails part of its requests is avoided while others have capacity', () => {
  expect(
    chosen(candidate('failing', { failureRate: 0.4 }), candidate('healthy', { inFlight: 3 })),
  ).toEqual('healthy');
});

test('a warm server is chosen before one that warms up', () => {
  expect(chosen(candidate('cold', { warmUpRemaining: 0.5 }), candidate('warm'))).toEqual('warm');
});

test('a server with an overdue request is avoided', () => {
  const overdue = candidate('overdue', { inFlight: 1, oldestInFlightMs: 1_500 });
  expect(chosen(overdue, candidate('answering', { inFlight: 4 }))).toEqual('answering');
});

test('a wait that the queue explains does not count as overdue', () => {
  const busy = { inFlight: 8, oldestInFlightMs: 700 };
  expect(expectedMs(candidate('busy', busy))).toEqual(
    expectedMs(candidate('busy', { ...busy, oldestInFlightMs: 0 })),
  );
});

test('without servers there is no choice', () => {
  expect(chosen()).toEqual(undefined);
});

test('the expected time grows by a service time for each further request per slot', () => {
  const at = (inFlight: number) => expectedMs(candidate('a', { inFlight }));
  expect(at(5) - at(3)).toEqual(200);
});
