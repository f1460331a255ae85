import { LatencyBaseline } from './latency-baseline.js';
import type { LatencySample } from './latency-sample.js';

/**
 * Largest baseline of a rule relative to that of all requests, in case the reported load is wrong.
 */
const MAX_RULE_FACTOR = 2;

/**
 * Latency without load by rule, since rules differ in cost. A rule gets its own baseline once
 * enough of its requests met a free slot. Until then the baseline of all requests is used, because
 * a rule that first appears during an overload would otherwise learn the latency of the overload.
 * @internal
 */
export class RuleBaselines {
  readonly #slots: number;
  readonly #all: LatencyBaseline;
  readonly #rules = new Map<string, LatencyBaseline>();

  /** @param slots Number of requests that the server runs in parallel. */
  constructor(slots: number, now: number) {
    this.#slots = slots;
    this.#all = new LatencyBaseline(slots, now);
  }

  /** Adds a request and returns the latency that it would have had without load. */
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
