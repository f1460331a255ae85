/** Name of a rule that a trace can violate. */
export type TraceRule =
  | 'one-owner'
  | 'run-under-grant'
  | 'epoch-owner'
  | 'epoch-rises'
  | 'assignment-kept'
  | 'at-most-once'
  | 'not-run-is-true'
  | 'config-rises'
  | 'stated-outcome';

/** A violation of a rule by a trace. */
export interface TraceViolation {
  readonly rule: TraceRule;
  /** Time of the event that violates the rule, in milliseconds. */
  readonly at: number;
  readonly message: string;
}
