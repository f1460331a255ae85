import * as v from 'valibot';

const DAY_MS = 86_400_000;

function wholeNumber(min: number) {
  return v.pipe(v.number(), v.integer(), v.minValue(min));
}

/** Limits of the ledger. Times are in milliseconds, sizes in bytes. */
export const ledgerConfigSchema = v.strictObject({
  /** Time that a record is kept. A repeat after it is refused or, for keys without a time, run. */
  retentionMs: v.optional(wholeNumber(1), DAY_MS),
  /** Largest difference between the wall clocks of two routers, or of a caller and a router. */
  clockSkewMs: v.optional(wholeNumber(0), 60_000),
  /** Answers up to this size stand in the row; larger ones go to the object store. */
  inlineBytes: v.optional(wholeNumber(0), 8_192),
  /** Most rows in one transaction. */
  batchRows: v.optional(wholeNumber(1), 64),
  /** Most bytes of values in one transaction; a single larger row still gets its own. */
  batchBytes: v.optional(wholeNumber(1), 262_144),
  /** Least time between the starts of two transactions. */
  batchGapMs: v.optional(wholeNumber(0), 20),
  /** Transactions a second that all routers together may ask of the table for their ledgers. */
  transactionsPerSecond: v.optional(wholeNumber(1), 300),
  /** Time that a transaction may take before another one is started beside it. */
  stallMs: v.optional(wholeNumber(1), 250),
  /** Most transactions at the same time; more than one only while earlier ones stall. */
  maxInFlight: v.optional(wholeNumber(1), 4),
  /** Most rows that wait for a transaction; further ones are refused. */
  maxQueued: v.optional(wholeNumber(1), 10_000),
  /** Time within which the outcome of one transaction is settled. */
  settleMs: v.optional(wholeNumber(1), 5_000),
  /** Time between two attempts of one transaction. */
  settleGapMs: v.optional(wholeNumber(1), 20),
  /** Least silence after which a copy of a transaction is sent; more when the table is slow. */
  copyAfterMs: v.optional(wholeNumber(1), 400),
  /** Longest time that a repeat waits for a run at another instance to be recorded. */
  elsewhereWaitMs: v.optional(wholeNumber(0), 300),
  /** Time between two reads while it waits. */
  elsewherePollMs: v.optional(wholeNumber(1), 100),
  /** Time since the table's first failure during which intents are tried again within their deadline. */
  briefOutageMs: v.optional(wholeNumber(0), 250),
  briefOutagePauseMs: v.optional(wholeNumber(1), 50),
  /** Longest time of a read that looks for an earlier try. */
  lookupMs: v.optional(wholeNumber(1), 100),
  /** Attempts to record an outcome after the first one failed. */
  recordRetries: v.optional(wholeNumber(0), 720),
  /** First pause between these attempts; it doubles up to `recordMaxPauseMs`. */
  recordPauseMs: v.optional(wholeNumber(1), 100),
  recordMaxPauseMs: v.optional(wholeNumber(1), 5_000),
  /** Memory for answers that are given again without reading the table. */
  memoryBytes: v.optional(wholeNumber(1), 16_777_216),
  /** Most runs proved not run that are remembered. */
  memoryNotRun: v.optional(wholeNumber(1), 10_000),
  /** Time after which a refused caller may come back: at least, and at most in a long outage. */
  retryAfterMs: v.optional(wholeNumber(1), 1_000),
  maxRetryAfterMs: v.optional(wholeNumber(1), 10_000),
});
export type LedgerConfig = v.InferOutput<typeof ledgerConfigSchema>;
export type LedgerConfigInput = v.InferInput<typeof ledgerConfigSchema>;
