import * as v from 'valibot';

const DAY_MS = 86_400_000;

function wholeNumber(min: number) {
  return v.pipe(v.number(), v.integer(), v.minValue(min));
}

/** Limits of the ledger. Times are in milliseconds, sizes in bytes. */
export const ledgerConfigSchema = v.strictObject({
  /**
   * Time for which a record is kept. A later repeat is refused, or run if its key has no timestamp.
   */
  retentionMs: v.optional(wholeNumber(1), DAY_MS),
  /**
   * Largest allowed difference between the wall clocks of two routers, or a caller and a router.
   */
  clockSkewMs: v.optional(wholeNumber(0), 60_000),
  /** Answers up to this size are stored in the row; larger ones go to the object store. */
  inlineBytes: v.optional(wholeNumber(0), 8_192),
  /** Maximum number of rows in one transaction. */
  batchRows: v.optional(wholeNumber(1), 64),
  /** Maximum size of the values in one transaction; a larger row is written on its own. */
  batchBytes: v.optional(wholeNumber(1), 262_144),
  /** Minimum time between the starts of two transactions. */
  batchGapMs: v.optional(wholeNumber(0), 20),
  /** Ledger transactions per second that all routers together may send to the table. */
  transactionsPerSecond: v.optional(wholeNumber(1), 300),
  /** Time after which a transaction counts as stalled and another one may start in parallel. */
  stallMs: v.optional(wholeNumber(1), 250),
  /** Maximum number of parallel transactions; more than one only while earlier ones are stalled. */
  maxInFlight: v.optional(wholeNumber(1), 4),
  /** Maximum number of queued rows; further ones are refused. */
  maxQueued: v.optional(wholeNumber(1), 10_000),
  /** Time after which the outcome of a transaction counts as unsettled. */
  settleMs: v.optional(wholeNumber(1), 5_000),
  /** Time between two attempts of one transaction. */
  settleGapMs: v.optional(wholeNumber(1), 20),
  /**
   * Minimum time without an answer after which a transaction is sent again; longer on a slow table.
   */
  copyAfterMs: v.optional(wholeNumber(1), 400),
  /** Longest time for which a repeat waits until another instance has recorded its run. */
  elsewhereWaitMs: v.optional(wholeNumber(0), 300),
  /** Poll interval of that wait. */
  elsewherePollMs: v.optional(wholeNumber(1), 100),
  /**
   * Time after the first failure of the table within which intents are retried until their
   * deadline.
   */
  briefOutageMs: v.optional(wholeNumber(0), 250),
  /** Delay before each of these retries. */
  briefOutagePauseMs: v.optional(wholeNumber(1), 50),
  /** Time limit of a read that looks for an earlier attempt. */
  lookupMs: v.optional(wholeNumber(1), 100),
  /** Number of retries to record an outcome. */
  recordRetries: v.optional(wholeNumber(0), 720),
  /** Delay before the first of these retries; it doubles up to `recordMaxPauseMs`. */
  recordPauseMs: v.optional(wholeNumber(1), 100),
  recordMaxPauseMs: v.optional(wholeNumber(1), 5_000),
  /** Size of the cache of outcomes, from which repeats are answered without a read of the table. */
  memoryBytes: v.optional(wholeNumber(1), 16_777_216),
  /** Interval between checks that the table still has the latest records of this instance. */
  watchEveryMs: v.optional(wholeNumber(1), 1_000),
  /** Size of the latest records that are kept, to write them again if the table forgot them. */
  watchBytes: v.optional(wholeNumber(1), 8_388_608),
  /** Maximum number of tokens of runs known not to have run that are cached. */
  memoryNotRun: v.optional(wholeNumber(1), 10_000),
  /** Smallest and largest retry delay sent with a refusal; it grows with the outage. */
  retryAfterMs: v.optional(wholeNumber(1), 1_000),
  maxRetryAfterMs: v.optional(wholeNumber(1), 10_000),
});
export type LedgerConfig = v.InferOutput<typeof ledgerConfigSchema>;
export type LedgerConfigInput = v.InferInput<typeof ledgerConfigSchema>;
