import { test } from 'node:test';

import { expect } from 'earl';

import { createRouteOutcomes } from '../lib/route-outcomes.js';

function setUp() {
  let now = 0;
  const lines: unknown[] = [];
  const log = { info: (_message: string, fields?: unknown) => lines.push(fields) };
  const outcomes = createRouteOutcomes(log, () => now);
  const wait = (ms: number) => {
    now += ms;
  };
  return { lines, outcomes, wait };
}

// Guards against routes that were added and fail, unseen among the requests on all others.
test('the outcomes of requests are logged by the version that added their route', () => {
  const { lines, outcomes, wait } = setUp();
  outcomes.record({ addedBy: undefined }, 'ok');
  outcomes.record({ addedBy: 7 }, 'overloaded');
  outcomes.record({ addedBy: 7 }, 'overloaded');
  wait(5_000);
  outcomes.record({ addedBy: 9 }, 'ok');
  const first = { ok: 1 };
  expect(lines).toEqual([{ forMs: 5_000, first, added: { 7: { overloaded: 2 }, 9: { ok: 1 } } }]);
});

// Guards against a line each few seconds of a router whose routes do not change.
test('nothing is logged without requests on added routes', () => {
  const { lines, outcomes, wait } = setUp();
  for (let count = 0; count < 5; count += 1) {
    outcomes.record({ addedBy: undefined }, 'ok');
    wait(5_000);
  }
  expect(lines).toEqual([]);
});
