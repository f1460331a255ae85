import { isNotRunCode, isUnknownOutcomeCode } from './result-code.js';
import type { OutcomeEvent, TraceEvent } from './trace-event.js';
import type { TraceViolation } from './trace-violation.js';

/** Returns the outcome event that ends a trace, with the time of the last event of the run. */
export function outcomeOf(events: readonly TraceEvent[]): OutcomeEvent {
  const recorded = events.filter((it) => it.kind !== 'outcome');
  const codes = recorded.filter((it) => it.kind === 'answered').map((it) => it.code);
  return {
    kind: 'outcome',
    at: recorded.reduce((last, it) => Math.max(last, it.at), 0),
    events: recorded.length,
    runs: recorded.filter((it) => it.kind === 'ran').length,
    answeredOk: codes.filter((it) => it === 0).length,
    answeredNotRun: codes.filter(isNotRunCode).length,
    answeredUnknown: codes.filter(isUnknownOutcomeCode).length,
  };
}

/** Checks that every outcome event agrees with the other events. @internal */
export function checkOutcome(events: readonly TraceEvent[]): TraceViolation[] {
  const counted = outcomeOf(events);
  return events.flatMap((event): TraceViolation[] => {
    if (event.kind !== 'outcome' || isSameOutcome(event, counted)) return [];
    const message = `stated ${JSON.stringify(event)}, found ${JSON.stringify(counted)}`;
    return [{ rule: 'stated-outcome', at: event.at, message }];
  });
}

function isSameOutcome(a: OutcomeEvent, b: OutcomeEvent): boolean {
  return (
    a.at === b.at &&
    a.events === b.events &&
    a.runs === b.runs &&
    a.answeredOk === b.answeredOk &&
    a.answeredNotRun === b.answeredNotRun &&
    a.answeredUnknown === b.answeredUnknown
  );
}
