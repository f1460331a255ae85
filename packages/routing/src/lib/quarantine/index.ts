export * from './peer-entry.js';
export * from './quarantine-entry.js';
export * from './quarantine.js';
