/** Measurement of one request. @internal */
export interface LatencySample {
  readonly latencyMs: number;
  /** Rule of the request; requests of one rule cost about the same. */
  readonly rule: string;
  /** Requests of this router in flight to the server when the request ended. */
  readonly inFlight: number;
  /** Requests running or waiting at the server, if it reported them. */
  readonly serverLoad: number | undefined;
  /** Time on the clock at which the request ended, in milliseconds. */
  readonly now: number;
}
