import { checkAssignments } from './check-assignments.js';
import { checkConfig } from './check-config.js';
import { checkOwners } from './check-owners.js';
import { checkAtMostOnce, checkNotRun } from './check-requests.js';
import { checkOutcome } from './outcome.js';
import type { TraceEvent } from './trace-event.js';
import type { TraceViolation } from './trace-violation.js';

/**
 * Checks the events of a recorded run against all rules. Events may be in any order; they are
 * sorted by time, and events of the same time keep their order.
 *
 * @returns All violations, sorted by time; none for a correct run.
 */
export function checkTrace(events: readonly TraceEvent[]): TraceViolation[] {
  const inOrder = events.toSorted((a, b) => a.at - b.at);
  const found = [
    ...checkOwners(inOrder),
    ...checkAssignments(inOrder),
    ...checkAtMostOnce(inOrder),
    ...checkNotRun(inOrder),
    ...checkConfig(inOrder),
    ...checkOutcome(inOrder),
  ];
  return found.toSorted((a, b) => a.at - b.at);
}
