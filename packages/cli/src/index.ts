export * from './lib/boragectl.js';
export { EXIT_CODES, type ExitCode } from './lib/cli-error.js';
export * from './lib/environment.js';
