import { instanceRecordSchema } from '@boragepoint/platform';
import * as v from 'valibot';

/**
 * Path that accepts a {@link PlatformControl} by POST and returns {@link PlatformCounters} by GET.
 */
export const PLATFORM_CONTROL_PATH = '/_control';

/** A change to the faults of the stand-in platform; omitted fields keep their values. */
export const platformControlSchema = v.strictObject({
  /** `refuse` answers 503, `silent` never answers, `no` ends the outage. */
  down: v.exactOptional(v.picklist(['no', 'refuse', 'silent'])),
  /** `take-copy` takes a copy of the table, `restore` brings the table back from the latest one. */
  table: v.exactOptional(v.picklist(['take-copy', 'restore'])),
  /** Delay before each call is processed, in milliseconds. */
  slowMs: v.exactOptional(v.number()),
  /** Number of upcoming writes that take effect but whose answer is lost. */
  loseNext: v.exactOptional(v.number()),
  /** Probability that a write takes effect but its answer is lost, drawn from a seed. */
  loseShare: v.exactOptional(v.strictObject({ probability: v.number(), seed: v.number() })),
  readsPerSecond: v.exactOptional(v.number()),
  writesPerSecond: v.exactOptional(v.number()),
  instances: v.exactOptional(v.array(instanceRecordSchema)),
  /** Delay until a change of the instance list is visible, in milliseconds. */
  instancesLagMs: v.exactOptional(v.number()),
});
export type PlatformControl = v.InferOutput<typeof platformControlSchema>;

/** Counters of the stand-in platform since it started. */
export const platformCountersSchema = v.object({
  reads: v.number(),
  writes: v.number(),
  /** Calls refused during an outage or above a rate limit. */
  refused: v.number(),
  /** Sizes of request bodies, as stated by their content lengths. */
  bytesIn: v.number(),
  /** Sizes of answer bodies of successful calls. */
  bytesOut: v.number(),
});
export type PlatformCounters = v.InferOutput<typeof platformCountersSchema>;
