import { RESULT_CODES, familyOf, type ResultCode } from '@boragepoint/config';
import { build, type Histogram } from 'hdr-histogram-js';

import { groupBy } from '../group-by.js';
import type { AttemptRecord } from './load-plan.js';

const MICROSECONDS_PER_MS = 1_000;
const P50 = 50;
const P99 = 99;

/** Figures of one kind of request. Latencies are of successful requests, in milliseconds. */
export interface KindResult {
  readonly kind: string;
  readonly requests: number;
  /** Requests with an attempt that got result code 0. */
  readonly ok: number;
  /** Requests whose last attempt was refused as not run. */
  readonly notRun: number;
  /** Requests whose last attempt left the outcome unknown. */
  readonly unknown: number;
  /** Requests whose last attempt was refused as a bad request. */
  readonly badRequest: number;
  /** Requests whose last attempt got no complete answer. */
  readonly lost: number;
  /** Attempts whose answer belongs to another request. */
  readonly mismatched: number;
  readonly attempts: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  /** Number of attempts by result code. */
  readonly codes: Readonly<Record<string, number>>;
}

/** The result of a load. */
export interface LoadResult {
  readonly attempts: readonly AttemptRecord[];
  readonly kinds: readonly KindResult[];
}

type AttemptOutcome = 'ok' | 'notRun' | 'unknown' | 'badRequest' | 'lost';

/** Classifies the outcome of an attempt. */
export function attemptOutcomeOf({
  code,
  status,
}: Pick<AttemptRecord, 'code' | 'status'>): AttemptOutcome {
  if (status === 0 || code < 0) return 'lost';
  if (code === RESULT_CODES.ok) return 'ok';
  const family = familyOf(code as ResultCode);
  if (family === 'not-run') return 'notRun';
  return family === 'bad-request' ? 'badRequest' : 'unknown';
}

/** Computes the figures of a load from its attempts. */
export function summarizeLoad(attempts: readonly AttemptRecord[]): LoadResult {
  const names = [...new Set(attempts.map((it) => it.kind))].sort();
  const kinds = names.map((name) =>
    summarizeKind(
      name,
      attempts.filter((it) => it.kind === name),
    ),
  );
  return { attempts, kinds };
}

function summarizeKind(kind: string, attempts: readonly AttemptRecord[]): KindResult {
  const outcomes: Record<AttemptOutcome, number> = {
    ok: 0,
    notRun: 0,
    unknown: 0,
    badRequest: 0,
    lost: 0,
  };
  const latencies = build();
  const byRequest = groupBy(attempts, (it) => it.request);
  for (const requestAttempts of byRequest.values()) {
    const answered = requestAttempts.find((it) => attemptOutcomeOf(it) === 'ok');
    const last = answered ?? requestAttempts.at(-1);
    if (last === undefined) continue;
    outcomes[attemptOutcomeOf(last)] += 1;
    if (answered !== undefined) recordLatency(latencies, answered);
  }
  return {
    kind,
    requests: byRequest.size,
    ...outcomes,
    mismatched: attempts.filter((it) => it.mismatched).length,
    attempts: attempts.length,
    p50Ms: latencies.getValueAtPercentile(P50) / MICROSECONDS_PER_MS,
    p99Ms: latencies.getValueAtPercentile(P99) / MICROSECONDS_PER_MS,
    maxMs: latencies.maxValue / MICROSECONDS_PER_MS,
    codes: countCodes(attempts),
  };
}

function recordLatency(latencies: Histogram, { latencyMs }: AttemptRecord): void {
  latencies.recordValue(Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS)));
}

function countCodes(attempts: readonly AttemptRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { code } of attempts) counts[code] = (counts[code] ?? 0) + 1;
  return counts;
}
