export * from './lib/backend/app.js';
export * from './lib/backend/control.js';
export * from './lib/backend/event-log.js';
export * from './lib/backend/server-request.js';
export * from './lib/listen.js';
export * from './lib/platform/app.js';
export * from './lib/platform/control.js';
