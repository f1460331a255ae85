import { LatencyBaseline } from './latency-baseline.js';
import type { LatencySample } from './latency-limit.js';

/** Largest baseline of a rule over that of all requests, in case the server reports its load wrongly. */
const MAX_RULE_FACTOR = 2;

/**
 * Unloaded latency by rule, since rules differ in cost. A rule has a baseline of its own once enough of
 * its requests met a free slot; until then the baseline of all requests stands in, because a rule that
 * first appears in an overload would take the overload for its norm.
 * @internal
 */
export class RuleBaselines {
  readonly #slots: number;
  readonly #all: LatencyBaseline;
  readonly #rules = new Map<string, LatencyBaseline>();

  /** @param slots Requests that the server works on at the same time. */
  constructor(slots: number, now: number) {
    this.#slots = slots;
    this.#all = new LatencyBaseline(slots, now);
  }

  /** Takes a request and returns the latency that it would have had without load. */
  learn(sample: LatencySample): number {
    const { latencyMs, serverLoad, now } = sample;
    this.#all.add(latencyMs, serverLoad, now);
    const rule = this.#ruleOf(sample);
    if (serverLoad !== undefined && serverLoad <= this.#slots) {
      rule.add(latencyMs, serverLoad, now);
    }
    const allMs = this.#all.valueMs ?? latencyMs;
    if (!rule.isSettled) return allMs;
    return Math.min(rule.valueMs ?? allMs, allMs * MAX_RULE_FACTOR);
  }

  #ruleOf({ rule, now }: LatencySample): LatencyBaseline {
    const known = this.#rules.get(rule);
    if (known) return known;
    const created = new LatencyBaseline(this.#slots, now);
    this.#rules.set(rule, created);
    return created;
  }
}
