export * from './quarantine-entry.js';
export * from './quarantine.js';
