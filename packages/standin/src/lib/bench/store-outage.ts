import { monotonicMs, sleep } from '../clock.js';
import { groupBy } from '../group-by.js';
import { attemptOutcomeOf } from '../load/load-result.js';
import type { AttemptRecord } from '../load/load-plan.js';
import { runUnderLoad, type LoadedFleet } from './run-under-load.js';
import { round, type Scenario } from './scenario.js';

const DEFAULT_SECONDS = 40;
const SECOND_MS = 1_000;
/** Total time before and after the outage during which requests are sent. */
const MARGIN_SECONDS = 5;
const MIN_SERVED_SHARE = 0.999;

function shareOf(
  attempts: readonly AttemptRecord[],
  outcome: ReturnType<typeof attemptOutcomeOf>,
): number {
  const matching = attempts.filter((it) => attemptOutcomeOf(it) === outcome);
  return round(matching.length / Math.max(1, attempts.length));
}

/** Formats the number of attempts by result code as `CODE:COUNT`, separated by spaces. */
function countCodes(attempts: readonly AttemptRecord[]): string {
  const byCode = groupBy(attempts, (it) => it.code);
  return [...byCode].map(([code, matching]) => `${code}:${matching.length}`).join(' ');
}

/** The table is down while idempotent and other requests are sent; callers do not retry. */
export const storeOutage: Scenario = {
  name: 'store-outage',
  about: 'what is served, refused and unknown while the table is down',
  async run({ seed, seconds }, emit) {
    const outageSeconds = seconds ?? DEFAULT_SECONDS;
    const span = { from: 0, to: 0 };
    const act = async ({ fleet }: LoadedFleet) => {
      span.from = monotonicMs();
      await fleet.controlPlatform({ down: 'refuse' });
      await sleep(outageSeconds * SECOND_MS);
      await fleet.controlPlatform({ down: 'no' });
      span.to = monotonicMs();
      return [];
    };
    const run = {
      seed,
      seconds: outageSeconds + MARGIN_SECONDS,
      load: { maxAttempts: 1 },
      act: act,
    };
    const { load, figures } = await runUnderLoad(run, emit);
    const inSpan = load.attempts.filter((it) => {
      const dueAt = it.at - it.latencyMs;
      return dueAt >= span.from && dueAt < span.to;
    });
    const browse = inSpan.filter((it) => it.kind === 'browse');
    const pay = inSpan.filter((it) => it.kind === 'pay');
    for (const [kind, attempts] of Object.entries({ browse, pay })) {
      emit('requests during the outage', {
        kind,
        requests: attempts.length,
        served: shareOf(attempts, 'ok'),
        refused: shareOf(attempts, 'notRun'),
        unknown: shareOf(attempts, 'unknown'),
        'no answer': shareOf(attempts, 'lost'),
        'attempts by result code': countCodes(attempts),
      });
    }
    return [
      ...figures,
      { name: 'idempotent served', value: shareOf(browse, 'ok'), atLeast: MIN_SERVED_SHARE },
      { name: 'without any answer', value: shareOf(inSpan, 'lost'), atMost: 0 },
    ];
  },
};
