import type { RanEvent } from '@boragepoint/spec';

import { groupBy } from '../group-by.js';
import type { RouterOutages } from './router-outages.js';
import type { Figure } from './fault-case.js';
import type { PaymentTries } from './payment-load.js';
import { reportedOutcomeOf, type PaymentTry } from './payment-try.js';

/** Time in which an answer reaches its caller after the deadline on a busy host. */
const ANSWER_GRACE_MS = 500;

/** Observations from which the figures are computed. */
export interface PaymentObservations {
  readonly payments: readonly PaymentTries[];
  /** Runs recorded in the logs of the backend servers. */
  readonly runs: readonly RanEvent[];
  readonly outages: RouterOutages;
  readonly deadlineMs: number;
}

function share(part: number, whole: number): number {
  return whole === 0 ? 0 : Number((part / whole).toFixed(4));
}

function lastOf(tries: PaymentTries): PaymentTry | undefined {
  return [...tries].sort((a, b) => a.sentAt - b.sentAt).at(-1);
}

/** Returns whether two tries were open at once, so that neither caller knew the other's outcome. */
function wereOpenTogether(a: PaymentTry, b: PaymentTry): boolean {
  return a.sentAt <= b.record.at && b.sentAt <= a.record.at;
}

/**
 * Returns whether the last try of a payment was refused as not run although the payment ran. A
 * refusal only covers its own try, so it counts only if no other try was open at the same time.
 */
export function isFalseRefusal(tries: PaymentTries, ran: boolean): boolean {
  const last = lastOf(tries);
  if (!ran || last === undefined || reportedOutcomeOf(last) !== 'not-run') return false;
  return !tries.some((it) => it !== last && wereOpenTogether(it, last));
}

function lastOutcomeIs(
  tries: PaymentTries,
  outcome: ReturnType<typeof reportedOutcomeOf>,
): boolean {
  const last = lastOf(tries);
  return last !== undefined && reportedOutcomeOf(last) === outcome;
}

/** Returns the tries whose caller waited past the deadline and whose router had no outage. */
function answerable({ payments, outages, deadlineMs }: PaymentObservations): PaymentTry[] {
  const triesPastDeadline = payments
    .flat()
    .filter((it) => it.patienceMs > deadlineMs + ANSWER_GRACE_MS);
  return triesPastDeadline.filter(
    ({ record, sentAt }) => !outages.covers(record.router, sentAt, record.at),
  );
}

function answerFigures(observations: PaymentObservations): Figure[] {
  const due = answerable(observations);
  const unanswered = due.filter((it) => reportedOutcomeOf(it) === 'silent');
  const late = due.filter((it) => it.record.latencyMs > observations.deadlineMs + ANSWER_GRACE_MS);
  const latest = Math.max(0, ...due.map((it) => it.record.latencyMs));
  return [
    { name: 'tries that had to be answered', value: due.length, atLeast: 1 },
    { name: 'slowest answer ms', value: Math.round(latest) },
    {
      name: `answered over ${ANSWER_GRACE_MS} ms past the deadline`,
      value: late.length,
      atMost: 0,
    },
    { name: 'not answered', value: unanswered.length, atMost: 0 },
  ];
}

function refusalFigures({ payments, runs }: PaymentObservations): Figure[] {
  const byKey = groupBy(runs, (it) => it.idempotencyKey ?? '');
  const ranIds = new Set(runs.map((it) => it.requestId));
  const runsOf = (tries: PaymentTries) => byKey.get(tries[0]?.payment.idempotencyKey ?? '') ?? [];
  const twice = payments.filter((it) => runsOf(it).length > 1);
  const notRun = payments.flat().filter((it) => reportedOutcomeOf(it) === 'not-run');
  const falselyRefused = notRun.filter((it) => ranIds.has(it.record.requestId));
  const afterRun = notRun.filter(({ payment, record }) =>
    (byKey.get(payment.idempotencyKey) ?? []).some((run) => run.at <= record.at),
  );
  const lastFalselyRefused = payments.filter((it) => isFalseRefusal(it, runsOf(it).length > 0));
  const lastRefusedThatRan = payments.filter(
    (it) => lastOutcomeIs(it, 'not-run') && runsOf(it).length > 0,
  );
  const okWithoutRun = payments.filter(
    (it) => it.some((one) => reportedOutcomeOf(one) === 'ok') && runsOf(it).length === 0,
  );
  return [
    { name: 'payments that ran', value: payments.filter((it) => runsOf(it).length > 0).length },
    { name: 'ran twice', value: twice.length, atMost: 0 },
    { name: 'answered without a run', value: okWithoutRun.length, atMost: 0 },
    { name: 'tries told not run', value: notRun.length },
    { name: 'tries told not run that ran', value: falselyRefused.length, atMost: 0 },
    { name: 'tries told not run after their payment ran', value: afterRun.length, atMost: 0 },
    {
      name: 'last tries told not run of payments that ran',
      value: lastFalselyRefused.length,
      atMost: 0,
    },
    {
      name: 'told not run beside an open try that ran',
      value: lastRefusedThatRan.length - lastFalselyRefused.length,
    },
  ];
}

function outcomeFigures({ payments }: PaymentObservations): Figure[] {
  const tries = payments.flat();
  const answered = payments.filter((it) => it.some((one) => reportedOutcomeOf(one) === 'ok'));
  const lastUnknown = payments.filter((it) => lastOutcomeIs(it, 'unknown'));
  const unknown = tries.filter((it) => reportedOutcomeOf(it) === 'unknown');
  const mismatched = tries.filter((it) => it.record.mismatched);
  const servers = answered.map((it) => new Set(it.map((one) => one.record.server).filter(Boolean)));
  return [
    { name: 'payments', value: payments.length, atLeast: 1 },
    { name: 'tries', value: tries.length },
    { name: 'payments with an answer', value: answered.length },
    {
      name: 'share with unknown outcome at the last try',
      value: share(lastUnknown.length, payments.length),
    },
    { name: 'share of tries with unknown outcome', value: share(unknown.length, tries.length) },
    { name: 'answers of another request', value: mismatched.length, atMost: 0 },
    {
      name: 'payments with two answers',
      value: servers.filter((it) => it.size > 1).length,
      atMost: 0,
    },
  ];
}

/** Computes the figures of a payment load. */
export function paymentFigures(observations: PaymentObservations): Figure[] {
  return [
    ...outcomeFigures(observations),
    ...refusalFigures(observations),
    ...answerFigures(observations),
  ];
}
