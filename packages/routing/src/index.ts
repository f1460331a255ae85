export * from './lib/ledger/index.js';
export * from './lib/quarantine/index.js';
