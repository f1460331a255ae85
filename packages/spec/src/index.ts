export * from './lib/trace/trace-event.js';
