import type { RanEvent } from '@boragepoint/spec';

import { groupBy } from '../group-by.js';
import type { Absences } from './absences.js';
import type { Figure } from './fault-case.js';
import type { PaymentTries } from './pay-load.js';
import { toldTo, type PaymentTry } from './payment-try.js';

/** Time after the deadline within which an answer reaches its caller on a busy host. */
const GRACE_MS = 500;

/** What the figures are made from. */
export interface PaymentEvidence {
  readonly payments: readonly PaymentTries[];
  /** What the backend servers ran, by their own logs. */
  readonly runs: readonly RanEvent[];
  readonly absences: Absences;
  readonly deadlineMs: number;
}

function share(part: number, whole: number): number {
  return whole === 0 ? 0 : Number((part / whole).toFixed(4));
}

function lastOf(tries: PaymentTries): PaymentTry | undefined {
  return [...tries].sort((a, b) => a.sentAt - b.sentAt).at(-1);
}

/** Two tries of one payment that were open at the same time: neither caller knows of the other's outcome. */
function overlap(a: PaymentTry, b: PaymentTry): boolean {
  return a.sentAt <= b.record.at && b.sentAt <= a.record.at;
}

/**
 * The payment ran although its last try was told that it didn't. A refusal speaks for its own try, so it is held against a
 * payment only if no other try of it was open meanwhile.
 */
export function isFalseRefusal(tries: PaymentTries, ran: boolean): boolean {
  const last = lastOf(tries);
  if (!ran || last === undefined || toldTo(last) !== 'not-run') return false;
  return !tries.some((it) => it !== last && overlap(it, last));
}

function isLast(tries: PaymentTries, told: ReturnType<typeof toldTo>): boolean {
  const last = lastOf(tries);
  return last !== undefined && toldTo(last) === told;
}

/** Tries whose caller waited past the deadline, through routers that could answer. */
function answerable({ payments, absences, deadlineMs }: PaymentEvidence): PaymentTry[] {
  const patient = payments.flat().filter((it) => it.patienceMs > deadlineMs + GRACE_MS);
  return patient.filter(({ record, sentAt }) => !absences.covers(record.router, sentAt, record.at));
}

function answerFigures(evidence: PaymentEvidence): Figure[] {
  const due = answerable(evidence);
  const silent = due.filter((it) => toldTo(it) === 'silent');
  const late = due.filter((it) => it.record.latencyMs > evidence.deadlineMs + GRACE_MS);
  const latest = Math.max(0, ...due.map((it) => it.record.latencyMs));
  return [
    { name: 'tries that had to be answered', value: due.length, atLeast: 1 },
    { name: 'slowest answer ms', value: Math.round(latest) },
    { name: `answered over ${GRACE_MS} ms past the deadline`, value: late.length, atMost: 0 },
    { name: 'not answered', value: silent.length, atMost: 0 },
  ];
}

function truthFigures({ payments, runs }: PaymentEvidence): Figure[] {
  const byKey = groupBy(runs, (it) => it.idempotencyKey ?? '');
  const ranIds = new Set(runs.map((it) => it.requestId));
  const runsOf = (tries: PaymentTries) => byKey.get(tries[0]?.payment.idempotencyKey ?? '') ?? [];
  const twice = payments.filter((it) => runsOf(it).length > 1);
  const notRun = payments.flat().filter((it) => toldTo(it) === 'not-run');
  const untrue = notRun.filter((it) => ranIds.has(it.record.requestId));
  const afterRun = notRun.filter(({ payment, record }) =>
    (byKey.get(payment.idempotencyKey) ?? []).some((run) => run.at <= record.at),
  );
  const lastUntrue = payments.filter((it) => isFalseRefusal(it, runsOf(it).length > 0));
  const besideOpen = payments.filter((it) => isLast(it, 'not-run') && runsOf(it).length > 0);
  const okWithoutRun = payments.filter(
    (it) => it.some((one) => toldTo(one) === 'ok') && runsOf(it).length === 0,
  );
  return [
    { name: 'payments that ran', value: payments.filter((it) => runsOf(it).length > 0).length },
    { name: 'ran twice', value: twice.length, atMost: 0 },
    { name: 'answered without a run', value: okWithoutRun.length, atMost: 0 },
    { name: 'tries told not run', value: notRun.length },
    { name: 'tries told not run that ran', value: untrue.length, atMost: 0 },
    { name: 'tries told not run after their payment ran', value: afterRun.length, atMost: 0 },
    { name: 'last tries told not run of payments that ran', value: lastUntrue.length, atMost: 0 },
    {
      name: 'told not run beside an open try that ran',
      value: besideOpen.length - lastUntrue.length,
    },
  ];
}

function outcomeFigures({ payments }: PaymentEvidence): Figure[] {
  const tries = payments.flat();
  const got = payments.filter((it) => it.some((one) => toldTo(one) === 'ok'));
  const lastUnknown = payments.filter((it) => isLast(it, 'unknown'));
  const unknown = tries.filter((it) => toldTo(it) === 'unknown');
  const mismatched = tries.filter((it) => it.record.mismatched);
  const servers = got.map((it) => new Set(it.map((one) => one.record.server).filter(Boolean)));
  return [
    { name: 'payments', value: payments.length, atLeast: 1 },
    { name: 'tries', value: tries.length },
    { name: 'payments with an answer', value: got.length },
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

/** Works out the figures of a run of payments. */
export function paymentFigures(evidence: PaymentEvidence): Figure[] {
  return [...outcomeFigures(evidence), ...truthFigures(evidence), ...answerFigures(evidence)];
}
