export * from './operator-app.js';
export * from './operator-error.js';
export * from './operator-operations.js';
