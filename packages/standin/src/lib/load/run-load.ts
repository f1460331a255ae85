import { setMaxListeners } from 'node:events';

import { Agent } from 'undici';
import { v7 as timeOrderedUuid } from 'uuid';

import { monotonicMs, sleep } from '../clock.js';
import { createRandom, type Random } from '../random.js';
import { createKeyPicker, type KeyPicker } from './key-picker.js';
import type { AttemptRecord, LoadPlan, RequestKind } from './load-plan.js';
import { attemptOutcomeOf, summarizeLoad, type LoadResult } from './load-result.js';
import { sendAttempt, type LoadRequest } from './send-attempt.js';

const SECOND_MS = 1_000;
const DEFAULT_CONNECTIONS = 128;

/** A request with its due time, in milliseconds from the start. */
interface DueRequest {
  readonly dueMs: number;
  readonly req: LoadRequest;
  readonly isRepeated: boolean;
}

/** A running load; disposal stops it and waits for pending attempts. */
export interface RunningLoad extends AsyncDisposable {
  readonly result: Promise<LoadResult>;
  /** Starts no further requests; the result covers those already started. */
  stop(): void;
}

/** Starts a load without waiting for its end. */
export function startLoad(
  plan: LoadPlan,
  onAttempt?: (record: AttemptRecord) => void,
): RunningLoad {
  const stopping = new AbortController();
  const result = runLoad(plan, onAttempt, stopping.signal);
  return {
    result,
    stop: () => {
      stopping.abort();
    },
    async [Symbol.asyncDispose]() {
      stopping.abort();
      await Promise.allSettled([result]);
    },
  };
}

/**
 * Sends a load and waits until its last request has ended.
 *
 * @param signal Stops the load early: no further requests or retries are sent.
 */
export async function runLoad(
  plan: LoadPlan,
  onAttempt: (record: AttemptRecord) => void = () => undefined,
  signal: AbortSignal = new AbortController().signal,
): Promise<LoadResult> {
  const agent = new Agent({ connections: plan.connections ?? DEFAULT_CONNECTIONS });
  const routerRandom = createRandom(plan.seed + 1);
  const attempts: AttemptRecord[] = [];
  const start = monotonicMs();
  setMaxListeners(plan.requests + 1, signal);

  async function attempt(req: LoadRequest, number: number, dueAt: number) {
    const routers = plan.routers();
    const router = routers[routerRandom.below(routers.length)] ?? '';
    const { timeoutMs } = plan;
    const record = await sendAttempt(agent, req, { number, router, dueAt, timeoutMs });
    attempts.push(record);
    onAttempt(record);
    return record;
  }

  async function sendWithRetries({ req, dueMs, isRepeated }: DueRequest): Promise<void> {
    let dueAt = start + dueMs;
    for (let number = 1; number <= plan.maxAttempts; number += 1) {
      const record = await attempt(req, number, dueAt);
      if (!mayRepeat(req, record)) break;
      await sleep(plan.retryAfterMs, signal);
      if (signal.aborted) return;
      dueAt = monotonicMs();
    }
    if (isRepeated) await attempt(req, plan.maxAttempts + 1, monotonicMs());
  }

  const pending = new Set<Promise<void>>();
  for (const due of scheduleRequests(plan)) {
    await sleep(start + due.dueMs - monotonicMs(), signal);
    if (signal.aborted) break;
    const sending = sendWithRetries(due).finally(() => pending.delete(sending));
    pending.add(sending);
  }
  await Promise.all(pending);
  await agent.close();
  return summarizeLoad(attempts);
}

/** A non-idempotent request without an idempotency key is retried only if it has not run. */
function mayRepeat(req: LoadRequest, record: AttemptRecord): boolean {
  const outcome = attemptOutcomeOf(record);
  if (outcome === 'ok' || outcome === 'badRequest') return false;
  const isSafe = req.kind.idempotent || req.idempotencyKey !== undefined;
  return isSafe || outcome === 'notRun';
}

function* scheduleRequests(plan: LoadPlan): Generator<DueRequest> {
  const random = createRandom(plan.seed);
  const pickKey = createKeyPicker(plan.keys, random);
  let dueMs = 0;
  for (let number = 1; number <= plan.requests; number += 1) {
    dueMs += (-Math.log(1 - random.next()) * SECOND_MS) / plan.ratePerSecond;
    const req = createRequest(plan, number, dueMs, random, pickKey);
    const isRepeated = random.next() < (req.kind.repeatShare ?? 0);
    yield { dueMs, req, isRepeated };
  }
}

function createRequest(
  plan: LoadPlan,
  number: number,
  dueMs: number,
  random: Random,
  pickKey: KeyPicker,
): LoadRequest {
  const kind = pickKind(plan.kinds, random);
  return {
    kind,
    number,
    key: pickKey(dueMs),
    caller: plan.callers[random.below(plan.callers.length)] ?? '',
    idempotencyKey: kind.idempotent ? undefined : timeOrderedUuid(),
  };
}

function pickKind(kinds: readonly RequestKind[], random: Random): RequestKind {
  const total = kinds.reduce((sum, it) => sum + it.share, 0);
  let left = random.next() * total;
  for (const kind of kinds) {
    left -= kind.share;
    if (left < 0) return kind;
  }
  throw new Error('a load plan needs at least one kind of request with a share above 0');
}
