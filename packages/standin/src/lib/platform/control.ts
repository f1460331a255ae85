import { instanceRecordSchema } from '@boragepoint/platform';
import * as v from 'valibot';

/** Path that takes a {@link PlatformControl} by POST and returns {@link PlatformCounters} by GET. */
export const PLATFORM_CONTROL_PATH = '/_control';

/** A change to the stand-in platform; parts that are left out stay as they are. */
export const platformControlSchema = v.strictObject({
  /** `refuse` answers 503, `silent` never answers, `no` ends the outage. */
  down: v.exactOptional(v.picklist(['no', 'refuse', 'silent'])),
  /** Delay before each call takes effect, in milliseconds. */
  slowMs: v.exactOptional(v.number()),
  /** Number of coming writes that take effect although their answer is lost. */
  loseNext: v.exactOptional(v.number()),
  /** Share of writes that take effect although their answer is lost. */
  loseShare: v.exactOptional(v.strictObject({ probability: v.number(), seed: v.number() })),
  readsPerSecond: v.exactOptional(v.number()),
  writesPerSecond: v.exactOptional(v.number()),
  instances: v.exactOptional(v.array(instanceRecordSchema)),
  /** Time until a change of the instance list shows, in milliseconds. */
  instancesLagMs: v.exactOptional(v.number()),
});
export type PlatformControl = v.InferOutput<typeof platformControlSchema>;

/** What the stand-in platform served since it started. */
export const platformCountersSchema = v.object({
  reads: v.number(),
  writes: v.number(),
  refused: v.number(),
  bytesIn: v.number(),
  bytesOut: v.number(),
});
export type PlatformCounters = v.InferOutput<typeof platformCountersSchema>;
