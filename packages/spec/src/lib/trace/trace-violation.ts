/** A rule that a trace can break. */
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

/** One broken rule and where. */
export interface TraceViolation {
  readonly rule: TraceRule;
  /** Time of the event that broke the rule, in milliseconds. */
  readonly at: number;
  readonly message: string;
}
