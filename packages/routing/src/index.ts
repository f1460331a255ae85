export * from './lib/admission/index.js';
export * from './lib/balance/index.js';
export * from './lib/dispatch/index.js';
export * from './lib/ledger/index.js';
export * from './lib/quarantine/index.js';
