export * from './lib/trace/check-trace.js';
export { outcomeOf } from './lib/trace/outcome.js';
export * from './lib/trace/parse-trace.js';
export * from './lib/trace/trace-event.js';
export * from './lib/trace/trace-violation.js';
