import { setMaxListeners } from 'node:events';

import { Agent } from 'undici';

import { monotonicMs, sleep } from '../clock.js';
import { createRandom } from '../random.js';
import type { AttemptRecord, RequestKind } from './load-plan.js';
import { attemptOutcomeOf } from './load-result.js';
import { sendAttempt } from './send-attempt.js';

const CALLER = 'probe';
const TIMEOUT_MS = 2_000;
/** Numbers of probe requests stand apart from those of a load. */
const FIRST_REQUEST_NUMBER = 1_000_000;

/** What a probe asks for. */
export interface ProbePlan {
  readonly seed: number;
  readonly kind: RequestKind;
  readonly keys: readonly string[];
  /** Time between two requests for one key, in milliseconds. */
  readonly intervalMs: number;
  readonly routers: () => readonly string[];
}

/** Asks for each key again and again; disposal stops it. */
export interface Probe extends AsyncDisposable {
  readonly attempts: readonly AttemptRecord[];
  /** Returns the server that answered last for each key. */
  servers(): ReadonlyMap<string, string>;
  /** Returns the keys without a good answer since a monotonic time. */
  unservedSince(at: number): string[];
  /** Returns the longest time between two good answers for a key in a span, in milliseconds. */
  longestGapMs(key: string, from: number, to: number): number;
  /** Ends the probe after the answers that are still awaited. */
  stop(): Promise<void>;
}

/** Starts a probe. Attempts for one key overlap when answers are late. */
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
