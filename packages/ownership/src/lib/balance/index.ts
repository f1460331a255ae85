export * from './assign-initially.js';
export { type BalanceServer, type BalanceServerState, type ShardLoad } from './balance-types.js';
export * from './choose-successors.js';
export * from './plan-moves.js';
