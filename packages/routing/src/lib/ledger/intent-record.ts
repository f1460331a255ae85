import { createHash } from 'node:crypto';

import type { TableRow } from '@boragepoint/platform';
import * as v from 'valibot';

const INTENT_PREFIX = 'intent';
const ANSWER_PREFIX = 'answer';

const headerSchema = v.object({ name: v.string(), value: v.string() });
/** One header of an answer. */
export type AnswerHeader = v.InferOutput<typeof headerSchema>;

const bodySchema = v.variant('in', [
  v.object({ in: v.literal('row'), base64: v.string() }),
  v.object({ in: v.literal('object'), key: v.string(), bytes: v.number(), sha256: v.string() }),
]);
/** Where the body of a recorded answer is stored: in the row or in the object store. */
export type RecordedBody = v.InferOutput<typeof bodySchema>;

const recordedAnswerSchema = v.object({
  status: v.number(),
  headers: v.array(headerSchema),
  body: bodySchema,
});
/** An answer as its row records it. */
export type RecordedAnswer = v.InferOutput<typeof recordedAnswerSchema>;

/**
 * State of one non-idempotent request:
 * - `pending`: the run that the row names may have dispatched it;
 * - `done`: it ran, and the row records its answer;
 * - `unknown`: it was dispatched, and its outcome can no longer be determined;
 * - `not-run`: it provably did not run, so the next repeat may run it.
 */
const stateSchema = v.variant('state', [
  v.object({ state: v.literal('pending') }),
  v.object({ state: v.literal('done'), answer: recordedAnswerSchema }),
  v.object({ state: v.literal('unknown') }),
  v.object({ state: v.literal('not-run') }),
]);
export type IntentState = v.InferOutput<typeof stateSchema>;

/** Value of a row `intent/SERVICE/HASH`. */
export const intentRecordSchema = v.object({
  /** Token of the transaction that last wrote the row. */
  writer: v.string(),
  /** Token of the run that the state belongs to; each run of the request has its own. */
  run: v.string(),
  /** Incarnation of the instance that started the run. */
  keeper: v.string(),
  /** Hash of the request, which detects a key that is used for two different requests. */
  fingerprint: v.string(),
  /** Wall-clock time of the keeper at the start of the run. */
  startedAtMs: v.number(),
  /** Wall-clock time after which the row may be removed. */
  expiresAtMs: v.number(),
  outcome: stateSchema,
});
export type IntentRecord = v.InferOutput<typeof intentRecordSchema>;

function hashOf(idempotencyKey: string): string {
  return createHash('sha256').update(idempotencyKey).digest('hex').slice(0, 40);
}

/** Returns the key of the row of one request. */
export function intentRowKey(service: string, idempotencyKey: string): string {
  return `${INTENT_PREFIX}/${service}/${hashOf(idempotencyKey)}`;
}

/** Returns the key prefix of a service's rows whose hash starts with the given hex digits. */
export function intentPrefix(service: string, digits = ''): string {
  return `${INTENT_PREFIX}/${service}/${digits}`;
}

/** Returns the key of the object that holds the answer of one run. */
export function answerObjectKey(rowKey: string, run: string): string {
  return `${ANSWER_PREFIX}${rowKey.slice(INTENT_PREFIX.length)}/${run}`;
}

/** Parses a row; returns `undefined` if it is not an intent record. */
export function parseIntent(row: TableRow): IntentRecord | undefined {
  try {
    const parsed = v.safeParse(intentRecordSchema, JSON.parse(row.value));
    return parsed.success ? parsed.output : undefined;
  } catch {
    return undefined;
  }
}
