import { setMaxListeners } from 'node:events';

import { Agent } from 'undici';

import { monotonicMs, sleep } from '../clock.js';
import { createRandom } from '../random.js';
import type { AttemptRecord, RequestKind } from './load-plan.js';
import { endingOf } from './load-result.js';
import { sendAttempt } from './send-attempt.js';

const CALLER = 'probe';
const TIMEOUT_MS = 2_000;
/** Numbers of probe requests stand apart from those of a load. */
const FIRST_NUMBER = 1_000_000;

/** What a probe asks for. */
export interface ProbePlan {
  readonly seed: number;
  readonly kind: RequestKind;
  readonly keys: readonly string[];
  /** Time between two requests for one key, in milliseconds. */
  readonly everyMs: number;
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
  const goodTimes = new Map(plan.keys.map((key) => [key, [] as number[]]));
  const servers = new Map<string, string>();
  const stopping = new AbortController();
  setMaxListeners(plan.keys.length, stopping.signal);
  let number = FIRST_NUMBER;

  async function ask(key: string): Promise<void> {
    const routers = plan.routers();
    const router = routers[random.below(routers.length)] ?? '';
    number += 1;
    const req = { kind: plan.kind, number, key, caller: CALLER, idempotencyKey: undefined };
    const attempt = { number: 1, router, dueAt: monotonicMs(), timeoutMs: TIMEOUT_MS };
    const record = await sendAttempt(agent, req, attempt);
    attempts.push(record);
    if (endingOf(record) !== 'ok' || record.mismatched) return;
    goodTimes.get(key)?.push(record.at);
    servers.set(key, record.server);
  }

  async function askAgainAndAgain(key: string): Promise<void> {
    const open = new Set<Promise<void>>();
    while (!stopping.signal.aborted) {
      const asking = ask(key).finally(() => open.delete(asking));
      open.add(asking);
      await sleep(plan.everyMs, stopping.signal);
    }
    await Promise.all(open);
  }

  const running = Promise.all(plan.keys.map(askAgainAndAgain));

  let ending: Promise<void> | undefined;

  async function end(): Promise<void> {
    stopping.abort();
    await running;
    await agent.close();
  }

  const stop = () => (ending ??= end());

  return {
    attempts,
    servers: () => servers,
    unservedSince: (at) => plan.keys.filter((key) => (goodTimes.get(key)?.at(-1) ?? 0) < at),
    longestGapMs(key, from, to) {
      const inside = (goodTimes.get(key) ?? []).filter((at) => at > from && at < to);
      const times = [from, ...inside, to];
      const gaps = times.slice(1).map((at, index) => at - (times[index] ?? at));
      return Math.max(...gaps);
    },
    stop,
    [Symbol.asyncDispose]: stop,
  };
}
