export * from './lib/burn-report.js';
export { checkService } from './lib/check-service.js';
export * from './lib/check-services.js';
export * from './lib/configuration-document.js';
export * from './lib/configuration-error.js';
export * from './lib/define-service.js';
export {
  type IpEndpoint,
  isCallable,
  parseCallableEndpoint,
  parseIpEndpoint,
} from './lib/ip-address.js';
export * from './lib/fleet-settings.js';
export * from './lib/operator-api.js';
export * from './lib/operator-error-body.js';
export * from './lib/operator-history.js';
export * from './lib/operator-status.js';
export { type Problem, formatProblem, problemsOf } from './lib/problem.js';
export * from './lib/request-key.js';
export * from './lib/result-codes.js';
export * from './lib/result-status.js';
export * from './lib/rule-match.js';
export { nameSchema } from './lib/scalars.js';
export * from './lib/service-config.js';
export * from './lib/settings.js';
export { type LogLevel, type Settings, settingsSchema } from './lib/settings-schema.js';
