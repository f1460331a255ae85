import type { AgedLimit } from './limit-exchange.js';
import type { PermitsReply, WantedPermits } from './permit-allocator.js';

/** A request for permits, with limits that the leader has not confirmed. */
export interface PermitsAsk {
  readonly router: string;
  readonly address: string;
  /** Start of the asking process, in milliseconds since the Unix epoch. */
  readonly startedMs: number;
  readonly limits: readonly AgedLimit[];
  readonly wanted: readonly WantedPermits[];
}

/** Answer to a request for permits. */
export interface PermitsAnswer {
  /** False if the answering router does not lead; then there are no replies. */
  readonly leads: boolean;
  /** Start of the answering process, in milliseconds since the Unix epoch. */
  readonly startedMs: number;
  readonly replies: readonly PermitsReply[];
}
