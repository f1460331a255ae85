import * as v from 'valibot';

function wholeNumber(min: number) {
  return v.pipe(v.number(), v.integer(), v.minValue(min));
}

/** Limits of the quarantine; times in milliseconds. */
export const quarantineConfigSchema = v.strictObject({
  /** Time that a request stays suspect without running. */
  suspectMs: v.optional(wholeNumber(1), 600_000),
  /** Time that a request is barred. Afterwards it is suspect again and runs alone. */
  quarantineMs: v.optional(wholeNumber(1), 3_600_000),
  /** Time that a released entry is kept, so that older news of it does not bring it back. */
  releasedMs: v.optional(wholeNumber(1), 600_000),
  /** Longest time that a lost run waits for the peers to hear of it. */
  spreadMs: v.optional(wholeNumber(0), 500),
  /** Most entries held; the oldest change is dropped first, barred ones last. */
  maxEntries: v.optional(wholeNumber(1), 10_000),
});
export type QuarantineConfig = v.InferOutput<typeof quarantineConfigSchema>;
export type QuarantineConfigInput = v.InferInput<typeof quarantineConfigSchema>;
