import { setMaxListeners } from 'node:events';

import { Agent } from 'undici';

import { monotonicMs, sleep } from '../clock.js';
import { createRandom } from '../random.js';
import type { AttemptRecord, RequestKind } from './load-plan.js';
import { attemptOutcomeOf } from './load-result.js';
import { sendAttempt } from './send-attempt.js';

const CALLER = 'probe';
const TIMEOUT_MS = 2_000;
/** First number of probe requests, above the request numbers of any load. */
const FIRST_REQUEST_NUMBER = 1_000_000;

/** The requests of a probe. */
export interface ProbePlan {
  readonly seed: number;
  readonly kind: RequestKind;
  readonly keys: readonly string[];
  /** Interval between two requests for one key, in milliseconds. */
  readonly intervalMs: number;
  readonly routers: () => readonly string[];
}

/** Sends requests for each key at an interval; disposal stops it. */
export interface Probe extends AsyncDisposable {
  readonly attempts: readonly AttemptRecord[];
  /** Returns the id of the server that last answered for each key. */
  servers(): ReadonlyMap<string, string>;
  /** Returns the keys without a successful answer since a monotonic time in milliseconds. */
  unservedSince(at: number): string[];
  /**
   * Returns the longest time without a successful answer for a key between two monotonic times, all
   * in milliseconds.
   */
  longestGapMs(key: string, from: number, to: number): number;
  /** Sends no further requests and waits for the pending ones. */
  stop(): Promise<void>;
}

/** Starts a probe. Requests for one key overlap when an answer takes longer than the interval. */
export function startProbe(plan: ProbePlan): Probe {
  const agent = new Agent();
  const random = createRandom(plan.seed);
  const attempts: AttemptRecord[] = [];
  const answerTimes = new Map(plan.keys.map((key) => [key, [] as number[]]));
  const servers = new Map<string, string>();
  const stopping = new AbortController();
  setMaxListeners(plan.keys.length, stopping.signal);
  let number = FIRST_REQUEST_NUMBER;

  async function sendProbeRequest(key: string): Promise<void> {
    const routers = plan.routers();
    const router = routers[random.below(routers.length)] ?? '';
    number += 1;
    const req = { kind: plan.kind, number, key, caller: CALLER, idempotencyKey: undefined };
    const attempt = { number: 1, router, dueAt: monotonicMs(), timeoutMs: TIMEOUT_MS };
    const record = await sendAttempt(agent, req, attempt);
    attempts.push(record);
    if (attemptOutcomeOf(record) !== 'ok' || record.mismatched) return;
    answerTimes.get(key)?.push(record.at);
    servers.set(key, record.server);
  }

  async function probeUntilStopped(key: string): Promise<void> {
    const pending = new Set<Promise<void>>();
    while (!stopping.signal.aborted) {
      const sending = sendProbeRequest(key).finally(() => pending.delete(sending));
      pending.add(sending);
      await sleep(plan.intervalMs, stopping.signal);
    }
    await Promise.all(pending);
  }

  const running = Promise.all(plan.keys.map(probeUntilStopped));

  let stopped: Promise<void> | undefined;

  async function end(): Promise<void> {
    stopping.abort();
    await running;
    await agent.close();
  }

  const stop = () => (stopped ??= end());

  return {
    attempts,
    servers: () => servers,
    unservedSince: (at) => plan.keys.filter((key) => (answerTimes.get(key)?.at(-1) ?? 0) < at),
    longestGapMs(key, from, to) {
      const inside = (answerTimes.get(key) ?? []).filter((at) => at > from && at < to);
      const times = [from, ...inside, to];
      const gaps = times.slice(1).map((at, index) => at - (times[index] ?? at));
      return Math.max(...gaps);
    },
    stop,
    [Symbol.asyncDispose]: stop,
  };
}
