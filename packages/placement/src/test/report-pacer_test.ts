import { type TestContext, test } from 'node:test';
import { setImmediate as nextEventLoopTurn } from 'node:timers/promises';

import { expect } from 'earl';

import { createReportPacer, reportWaitMs } from '../lib/report-pacer.js';

const STEP_MS = 10;

/**
 * Returns the duration of a wait on mocked timers, in milliseconds; `onStep` is called after each
 * step.
 */
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

// Guards against a leader of hundreds of routers that is fully occupied by reports during
// hand-overs.
test('the gap between reports grows with the number of routers, up to a bound', async (t) => {
  expect(await measureMs(t, () => createReportPacer().wait(9))).toEqual(150);
  expect(await measureMs(t, () => createReportPacer().wait(200))).toEqual(400);
  expect(await measureMs(t, () => createReportPacer().wait(5_600))).toEqual(1_000);
});

// Guards against requests for moved keys that wait until the next regular report of their router.
test('a request that waits for a change ends the wait, but not before the minimum gap', async (t) => {
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

// Guards against routers of a large fleet that stop relying on their leader between two reports.
test('a report waits for a change for as long as makes 0.75 s with the pause after it, and 0.15 s at least', () => {
  expect([3, 60, 200, 300, 1_000].map(reportWaitMs)).toEqual([600, 600, 350, 150, 150]);
});
