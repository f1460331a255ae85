import {
  type BurnReport,
  type BurnShare,
  type Objective,
  type RuleBurn,
  type ServiceConfig,
  burnRateOf,
} from '@boragepoint/config';
import { LRUCache } from 'lru-cache';

const MINUTE_MS = 60_000;
const WINDOWS_MS = [5 * MINUTE_MS, 60 * MINUTE_MS, 360 * MINUTE_MS];
/** One-minute buckets of the longest window. */
const MAX_BUCKETS = 360;
/**
 * Maximum number of names counted for each of keys, servers and causes of one rule. Beyond it, the
 * name that was counted least recently is dropped.
 */
const MAX_NAMES = 256;
/** Maximum number of names reported for each of keys, servers and causes of one rule. */
const MAX_SHARES = 10;

/** One finished request. */
export interface BurnSample {
  readonly service: string;
  readonly rule: string;
  readonly objective: Objective;
  readonly latencyMs: number;
  /** Name of the result code; `ok` for an answer of the backend server. */
  readonly result: string;
  readonly key: string;
  /** Id of the backend server that owns the key; empty when it has no owner. */
  readonly server: string;
}

/** Counts good and bad requests against the objectives of their rules. */
export interface BurnCounters {
  add(sample: BurnSample): void;
  report(services: readonly ServiceConfig[]): BurnReport;
}

/** Finished requests of one minute. */
interface Bucket {
  /** Minutes since 1970. */
  minute: number;
  good: number;
  bad: number;
}

interface RuleCounters {
  readonly buckets: Bucket[];
  /** Numbers of bad requests by key, server and cause since the start of the router. */
  readonly keys: LRUCache<string, number>;
  readonly servers: LRUCache<string, number>;
  readonly causes: LRUCache<string, number>;
}

function createRuleCounters(): RuleCounters {
  return {
    buckets: [],
    keys: new LRUCache({ max: MAX_NAMES }),
    servers: new LRUCache({ max: MAX_NAMES }),
    causes: new LRUCache({ max: MAX_NAMES }),
  };
}

function increment(counts: LRUCache<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

function largestShares(counts: LRUCache<string, number>): BurnShare[] {
  const shares = [...counts.entries()].map(([name, bad]) => ({ name, bad }));
  return shares.sort((a, b) => b.bad - a.bad).slice(0, MAX_SHARES);
}

/** Creates the counters of one router. They are lost when the process ends. */
export function createBurnCounters(wallNow: () => number = Date.now): BurnCounters {
  const counters = new Map<string, RuleCounters>();

  function countersOf(service: string, rule: string): RuleCounters {
    const id = `${service}/${rule}`;
    const known = counters.get(id) ?? createRuleCounters();
    counters.set(id, known);
    return known;
  }

  function bucketNow(rule: RuleCounters): Bucket {
    const minute = Math.floor(wallNow() / MINUTE_MS);
    const last = rule.buckets.at(-1);
    if (last?.minute === minute) return last;
    const bucket = { minute, good: 0, bad: 0 };
    rule.buckets.push(bucket);
    if (rule.buckets.length > MAX_BUCKETS) rule.buckets.shift();
    return bucket;
  }

  function reportRule(service: string, rule: string, objective: Objective): RuleBurn {
    const { buckets, keys, servers, causes } = countersOf(service, rule);
    const currentMinute = Math.floor(wallNow() / MINUTE_MS);
    const windows = WINDOWS_MS.map((windowMs) => {
      const within = buckets.filter((it) => currentMinute - it.minute < windowMs / MINUTE_MS);
      const good = within.reduce((sum, it) => sum + it.good, 0);
      const bad = within.reduce((sum, it) => sum + it.bad, 0);
      return { windowMs, good, bad, burnRate: burnRateOf(good, bad, objective.target) };
    });
    const points = buckets.map((it) => ({
      atMs: (it.minute + 1) * MINUTE_MS,
      good: it.good,
      bad: it.bad,
      burnRate: burnRateOf(it.good, it.bad, objective.target),
    }));
    return {
      service,
      rule,
      objective,
      windows,
      points,
      keys: largestShares(keys),
      servers: largestShares(servers),
      causes: largestShares(causes),
    };
  }

  return {
    add({ service, rule, objective, latencyMs, result, key, server }) {
      const counted = countersOf(service, rule);
      const bucket = bucketNow(counted);
      const isSlow = latencyMs > objective.withinMs;
      if (result === 'ok' && !isSlow) {
        bucket.good += 1;
        return;
      }
      bucket.bad += 1;
      increment(counted.keys, key);
      increment(counted.servers, server);
      increment(counted.causes, result === 'ok' ? 'slow' : result);
    },
    report(services) {
      const rules = services.flatMap((service) =>
        service.rules.flatMap(({ name, objective }) =>
          objective === undefined ? [] : [reportRule(service.name, name, objective)],
        ),
      );
      const missing = ['counters from before the start of each router'];
      return { atMs: wallNow(), rules, missing };
    },
  };
}
