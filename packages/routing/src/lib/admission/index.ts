export {
  type AdmissionQueue,
  type AdmissionQueueOptions,
  type AdmissionQueueState,
  type AdmissionRequest,
  createAdmissionQueue,
} from './admission-queue.js';
export { type CircuitState } from './circuit-breaker.js';
export { type Clock, createSystemClock } from './clock.js';
export { connectionShare } from './connection-share.js';
export { type Outcome, type OutcomeKind } from './outcome.js';
export { type Permit } from './permit.js';
export { GUARANTEED_SHARES } from './priority-scheduler.js';
export { AdmissionRefusal, type RefusalKind } from './refusal.js';
export * from './retry-budget.js';
export * from './server-limiter.js';
