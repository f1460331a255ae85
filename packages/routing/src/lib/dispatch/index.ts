export * from './keeper-run.js';
export * from './request-router.js';
export * from './routed-request.js';
export * from './run-idempotent.js';
export * from './server-attempt.js';
export * from './server-links.js';
