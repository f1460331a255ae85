export * from './idempotency-key.js';
export * from './intent-record.js';
export { type LedgerClock, systemClock } from './ledger-clock.js';
export * from './ledger-config.js';
export * from './ledger-types.js';
export * from './ledger.js';
export * from './run-non-idempotent.js';
export * from './sweeper.js';
