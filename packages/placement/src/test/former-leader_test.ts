import { test } from 'node:test';

import { expect } from 'earl';

import { createStepDownRequests } from '../lib/former-leader.js';
import type { StepDownAnswer } from '../lib/step-down-answer.js';

/** Asks a former leader that answers as told. */
async function ask(answer: StepDownAnswer) {
  const requestStepDown = createStepDownRequests({
    peers: { requestStepDown: () => Promise.resolve(answer) },
    now: () => 7,
  });
  return requestStepDown('leader:1', 1, 2, 100);
}

// Guards against a former leader that goes on renewing leases behind cuts from all other routers: the
// refused connection was taken for its end.
test('a former leader that refuses the connection may live', async () => {
  expect(await ask({ kind: 'refused' })).toEqual({ kind: 'silent' });
});

test('another process at its address proves the end of a former leader up to the question', async () => {
  const answer = await ask({ kind: 'gone' });
  if (answer.kind !== 'gone') throw new Error(answer.kind);
  expect(answer.proof.ordersUntil).toEqual(7);
  expect(answer.proof.life.startedMs).toEqual(2);
});

test('other answers of a former leader stand as they are', async () => {
  expect(await ask({ kind: 'silent' })).toEqual({ kind: 'silent' });
  const stopped = { kind: 'stopped', unansweredForMs: 3, stopped: undefined } as const;
  expect(await ask(stopped)).toEqual(stopped);
});
