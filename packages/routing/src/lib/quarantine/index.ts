export * from './quarantine-config.js';
export * from './peer-entry.js';
export * from './quarantine-entry.js';
export * from './quarantine.js';
