export * from './lib/admission/index.js';
export * from './lib/balance/index.js';
