export * from './lib/key-range.js';
export * from './lib/leader-context.js';
export * from './lib/leader-messages.js';
export * from './lib/lease-bound.js';
export * from './lib/load-map.js';

export {
  type KnownShares,
  createKnownShares,
  createPublishedShares,
} from './lib/admitted-shares.js';
export { createOwnerAdmission } from './lib/owner-admission.js';
export type { QueueFigures } from './lib/owner-queues.js';
export * from './lib/permit-allocator.js';
export * from './lib/permit-messages.js';
export * from './lib/plan-moves.js';
export * from './lib/placement-leader.js';
export * from './lib/placement-member.js';
export * from './lib/peer-compression.js';
export {
  decodeNote,
  decodeReachRequest,
  encodeKnownPlacement,
  encodeReach,
} from './lib/peer-messages.js';
export * from './lib/placement-peers.js';
export * from './lib/placement-record.js';
export * from './lib/placement-view.js';
export * from './lib/recover-placement.js';
export * from './lib/range-table.js';
export * from './lib/report-messages.js';
export * from './lib/server-directory.js';
export * from './lib/cold-period.js';
export * from './lib/server-limits.js';
export * from './lib/server-rates.js';
export type { ReachRequest } from './lib/server-reach.js';
export * from './lib/server-speed.js';
export * from './lib/step-down-answer.js';
export * from './lib/stopped-leader.js';
export * from './lib/suspension-guard.js';
export * from './lib/service-planner.js';
export * from './lib/suspect-record.js';
export * from './lib/suspect-run.js';
