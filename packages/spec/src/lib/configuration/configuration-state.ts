import type { Mutation } from '../model/mutations.js';

/** An operator who submits one configuration. */
export interface OperatorState {
  readonly phase: 'idle' | 'writing' | 'accepted' | 'refused' | 'in force';
  /** Version that the operator's configuration is based on. */
  readonly baseVersion: number;
  readonly write: 'none' | 'in flight' | 'applied' | 'refused';
  /** For each router: true once it reported the operator's version or a higher one. */
  readonly reports: readonly boolean[];
}

/** The configuration of a router. */
export interface RouterState {
  /** Version in force at the router, 0 after a restart. */
  readonly version: number;
  readonly isReady: boolean;
}

/** State of the model: the configuration row of one service, the operators and the routers. */
export interface ConfigurationState {
  /** Operators that wrote each version, in order; the row has the last one. -1 wrote version 1. */
  readonly writers: readonly number[];
  readonly operators: readonly OperatorState[];
  readonly routers: readonly RouterState[];
  /** Highest version that a router has pushed to a peer; pushes may arrive late or repeatedly. */
  readonly highestPushed: number;
  /** Highest version that an operator was told is accepted. */
  readonly accepted: { readonly version: number; readonly writer: number };
  /** Highest version that an operator was told is in force at all ready routers. */
  readonly inForce: number;
  /** A router that returned to a lower version without a restart, -1 for none. */
  readonly revertedRouter: number;
}

/** Bounds of the exploration, and the rule that is removed, if any. */
export interface ConfigurationOptions {
  readonly mutation: Mutation | undefined;
  readonly operators: number;
  readonly routers: number;
}
