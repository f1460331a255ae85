import type { Mutation } from '../model/rules.js';

/** An operator who submits one configuration. */
export interface OperatorState {
  readonly phase: 'idle' | 'writing' | 'accepted' | 'refused' | 'in force';
  /** Version that the operator's configuration was made from. */
  readonly baseVersion: number;
  readonly write: 'none' | 'in flight' | 'applied' | 'refused';
  /** For each router: true when it reported the operator's version or a higher one. */
  readonly reports: readonly boolean[];
}

/** A router's configuration. */
export interface RouterState {
  /** Version in force, 0 after a restart. */
  readonly version: number;
  readonly isReady: boolean;
}

/** One service's configuration row, the operators and the routers. */
export interface ConfigurationState {
  /** Writers of all versions in order; the last one is in the row. -1 wrote version 1. */
  readonly writers: readonly number[];
  readonly operators: readonly OperatorState[];
  readonly routers: readonly RouterState[];
  /** Highest version that any router ever pushed to a peer; pushes arrive late and twice. */
  readonly highestPushed: number;
  /** Highest version that an operator was told of as accepted, and as in force everywhere. */
  readonly accepted: { readonly version: number; readonly writer: number };
  readonly inForce: number;
  /** A router that went back to a lower version without a restart, -1 for none. */
  readonly revertedRouter: number;
}

/** Bounds of the configuration, and the rule that is removed. */
export interface ConfigurationOptions {
  readonly mutation: Mutation | undefined;
  readonly operators: number;
  readonly routers: number;
}
