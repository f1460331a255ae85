import { isNotRunCode } from './result-code.js';
import { groupBy } from './group-by.js';
import type { RanEvent, TraceEvent } from './trace-event.js';
import type { TraceViolation } from './trace-violation.js';

function deduplicationKey(event: RanEvent): string {
  const id = event.idempotencyKey;
  return id === undefined ? `request ${event.requestId}` : `idempotency key ${id}`;
}

/** Checks that no non-idempotent request ran more than once. @internal */
export function checkAtMostOnce(events: readonly TraceEvent[]): TraceViolation[] {
  const nonIdempotentRuns = events.filter((it) => it.kind === 'ran').filter((it) => !it.idempotent);
  return [...groupBy(nonIdempotentRuns, (it) => `${it.service}: ${deduplicationKey(it)}`)].flatMap(
    ([name, runs]) =>
      runs.slice(1).map((run): TraceViolation => {
        const message = `${name} ran ${runs.length} times, the last at ${run.server}`;
        return { rule: 'at-most-once', at: run.at, message };
      }),
  );
}

/**
 * Checks that no request ran whose caller was answered "not run". The answer is about that request
 * alone, not about earlier requests under the same idempotency key. @internal
 */
export function checkNotRun(events: readonly TraceEvent[]): TraceViolation[] {
  const runsById = groupBy(
    events.filter((it) => it.kind === 'ran'),
    (it) => it.requestId,
  );
  return events.flatMap((event): TraceViolation[] => {
    if (event.kind !== 'answered' || !isNotRunCode(event.code)) return [];
    const run = runsById.get(event.requestId)?.[0];
    if (run === undefined) return [];
    const message = `${event.requestId} was answered ${event.code}, not run, but ran at ${run.server}`;
    return [{ rule: 'not-run-is-true', at: event.at, message }];
  });
}
