export * from './lib/result-codes.js';
export * from './lib/service-config.js';
