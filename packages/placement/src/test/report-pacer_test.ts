import { type TestContext, test } from 'node:test';
import { setImmediate as nextEventLoopTurn } from 'node:timers/promises';

import { expect } from 'earl';

import { createReportPacer } from '../lib/report-pacer.js';

const STEP_MS = 10;

/** Milliseconds that a wait takes; `onStep` is called as time passes. */
async function measureMs(
  t: TestContext,
  wait: () => Promise<void>,
  onStep: (ms: number) => void = () => undefined,
): Promise<number> {
  t.mock.timers.enable({ apis: ['setTimeout'] });
  const state = { isOver: false, ms: 0 };
  void wait().then(() => (state.isOver = true));
  await nextEventLoopTurn();
  while (!state.isOver) {
    state.ms += STEP_MS;
    t.mock.timers.tick(STEP_MS);
    onStep(state.ms);
    await nextEventLoopTurn();
  }
  t.mock.timers.reset();
  return state.ms;
}

// Guards against a leader of hundreds of routers that answers nothing but reports while keys change hands.
test('reports are rarer in a large fleet, within a bound', async (t) => {
  expect(await measureMs(t, () => createReportPacer().wait(9))).toEqual(150);
  expect(await measureMs(t, () => createReportPacer().wait(200))).toEqual(400);
  expect(await measureMs(t, () => createReportPacer().wait(5_600))).toEqual(1_000);
});

// Guards against requests for keys that have moved and that wait for their router's turn to report.
test('a request that waits for news ends the wait, after the shortest gap', async (t) => {
  const pacer = createReportPacer();
  const late = await measureMs(
    t,
    () => pacer.wait(500),
    (ms) => {
      if (ms === 300) pacer.expedite();
    },
  );
  expect(late).toEqual(300);
  const early = await measureMs(
    t,
    () => pacer.wait(500),
    (ms) => {
      if (ms === 50) pacer.expedite();
    },
  );
  expect(early).toEqual(150);
});
