import * as v from 'valibot';

import { objectiveSchema } from './service-config.js';

/** Requests of one time window, measured against the objective. */
export const burnWindowSchema = v.object({
  /** Length of the window, in milliseconds. */
  windowMs: v.number(),
  /** Successful requests within the objective's latency bound. */
  good: v.number(),
  bad: v.number(),
  /** Share of bad requests divided by the share that the objective allows; 1 uses up the budget. */
  burnRate: v.number(),
});
export type BurnWindow = v.InferOutput<typeof burnWindowSchema>;

/** Returns the share of bad requests divided by the share that the target allows. */
export function burnRateOf(good: number, bad: number, target: number): number {
  const total = good + bad;
  return total === 0 ? 0 : bad / total / (1 - target);
}

/** Number of bad requests of one key, server or cause. */
export const burnShareSchema = v.object({ name: v.string(), bad: v.number() });
export type BurnShare = v.InferOutput<typeof burnShareSchema>;

/** Requests of one step of the plot. Steps end at the same times on all routers. */
export const burnPointSchema = v.object({
  /** Wall-clock time at the end of the step, in milliseconds since 1970. */
  atMs: v.number(),
  good: v.number(),
  bad: v.number(),
  burnRate: v.number(),
});
export type BurnPoint = v.InferOutput<typeof burnPointSchema>;

/** Error budget burn of one rule. */
export const ruleBurnSchema = v.object({
  service: v.string(),
  rule: v.string(),
  objective: objectiveSchema,
  windows: v.array(burnWindowSchema),
  points: v.array(burnPointSchema),
  /**
   * Bad requests by key since the start of the router, largest numbers first. `servers` and `causes`
   * count them by backend server and by cause.
   */
  keys: v.array(burnShareSchema),
  servers: v.array(burnShareSchema),
  causes: v.array(burnShareSchema),
});
export type RuleBurn = v.InferOutput<typeof ruleBurnSchema>;

/** Answer of `GET /v1/report/burn`: the counters of the answering router alone. */
export const burnReportSchema = v.object({
  /** Wall-clock time in milliseconds since 1970. */
  atMs: v.number(),
  rules: v.array(ruleBurnSchema),
  /** Counters missing from the report, with the reason; empty when it is complete. */
  missing: v.array(v.string()),
});
export type BurnReport = v.InferOutput<typeof burnReportSchema>;
