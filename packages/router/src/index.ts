export * from './lib/admission.js';
export * from './lib/choose-server.js';
export * from './lib/fleet-router.js';
export * from './lib/route-table.js';
export * from './lib/router-log.js';
export * from './lib/server-load.js';
export * from './lib/server-permits.js';
export * from './lib/shared-retry-budget.js';
