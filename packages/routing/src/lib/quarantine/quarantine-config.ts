import * as v from 'valibot';

function wholeNumber(min: number) {
  return v.pipe(v.number(), v.integer(), v.minValue(min));
}

/** Limits of the quarantine. Times are in milliseconds. */
export const quarantineConfigSchema = v.strictObject({
  /** Time after which a request that has not run again is no longer suspect. */
  suspectMs: v.optional(wholeNumber(1), 600_000),
  /** Time for which a request is quarantined. It is suspect again afterwards and runs alone. */
  quarantineMs: v.optional(wholeNumber(1), 3_600_000),
  /** Time for which a released entry is kept, so that an older entry of a peer can't restore it. */
  releasedMs: v.optional(wholeNumber(1), 600_000),
  /** Longest time for which a lost run waits until the peers have received its entry. */
  spreadMs: v.optional(wholeNumber(0), 500),
  /** Maximum number of entries. The oldest change is dropped first, quarantined ones last. */
  maxEntries: v.optional(wholeNumber(1), 10_000),
});
export type QuarantineConfig = v.InferOutput<typeof quarantineConfigSchema>;
export type QuarantineConfigInput = v.InferInput<typeof quarantineConfigSchema>;
