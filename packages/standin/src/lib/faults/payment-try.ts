import { RESULT_CODES, familyOf, type ResultCode } from '@boragepoint/config';
import type { Dispatcher } from 'undici';

import { PAY } from '../demo/demo-plan.js';
import { monotonicMs } from '../clock.js';
import type { AttemptRecord } from '../load/load-plan.js';
import { sendAttempt } from '../load/send-attempt.js';

/** A payment: a request that must not run twice. */
export interface Payment {
  readonly number: number;
  readonly key: string;
  readonly idempotencyKey: string;
  /** Processing time in a backend server, in milliseconds. */
  readonly workMs: number;
}

/** One try of a payment. */
export interface PaymentTry {
  readonly payment: Payment;
  readonly record: AttemptRecord;
  /** Monotonic time at which it was sent, in milliseconds. */
  readonly sentAt: number;
  /** Timeout of its caller, in milliseconds. */
  readonly patienceMs: number;
}

/** Outcome that the caller of a try was told; `silent` means that no complete answer arrived. */
export type ReportedOutcome = 'ok' | 'not-run' | 'unknown' | 'bad-request' | 'silent';

/** Parameters of one try. */
export interface TryPlan {
  readonly router: string;
  readonly patienceMs: number;
  readonly isRepeat: boolean;
}

/** Sends one try and waits until it has ended. */
export async function sendTry(
  dispatcher: Dispatcher,
  payment: Payment,
  plan: TryPlan,
): Promise<PaymentTry> {
  const { number, key, idempotencyKey, workMs } = payment;
  const { router, patienceMs, isRepeat } = plan;
  const repeat: Record<string, string> = isRepeat ? { 'bp-repeat': 'true' } : {};
  const kind = { ...PAY, headers: { 'x-work-ms': String(workMs), ...repeat } };
  const req = { kind, number, key, caller: 'payer', idempotencyKey };
  const sentAt = monotonicMs();
  const attempt = { number: 1, router, dueAt: sentAt, timeoutMs: patienceMs };
  const record = await sendAttempt(dispatcher, req, attempt);
  return { payment, record, sentAt, patienceMs };
}

/** Returns the outcome that the caller of a try was told. */
export function reportedOutcomeOf({ record }: PaymentTry): ReportedOutcome {
  if (record.status === 0 || record.code < 0) return 'silent';
  if (record.code === RESULT_CODES.ok) return 'ok';
  switch (familyOf(record.code as ResultCode)) {
    case 'not-run':
      return 'not-run';
    case 'bad-request':
      return 'bad-request';
    default:
      return 'unknown';
  }
}
