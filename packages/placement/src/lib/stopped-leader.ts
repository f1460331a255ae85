import type { StoppedLeader as StoppedLeaderMessage } from '@boragepoint/protocol';

import { type Placement, decodePlacement, encodePlacement } from './placement-record.js';

/** What a leader knew when it stopped sending orders. */
export interface StoppedLeader {
  readonly placement: Placement;
  /** Time until its unanswered grants have expired, in milliseconds. */
  readonly unansweredForMs: number;
  /** Its estimate of the store's clock at that time, in milliseconds. */
  readonly storeNowMs: number;
  /**
   * False if another leader may have followed it: it handed over, or another router had acquired
   * its lease.
   */
  readonly isLast: boolean;
  /**
   * Time for which its leadership lease had expired then, in milliseconds; 0 if it was valid,
   * `Infinity` if that is not known.
   */
  readonly lapsedForMs: number;
}

/** Encodes what a leader knew, for another router. */
export function encodeStoppedLeader(stopped: StoppedLeader) {
  const { placement, storeNowMs, isLast, lapsedForMs } = stopped;
  return { record: encodePlacement(placement), storeNowMs, last: isLast, lapsedForMs };
}

/** Decodes what a leader knew; `undefined` if that is not possible. */
export function decodeStoppedLeader(
  message: StoppedLeaderMessage,
  unansweredForMs: number,
): StoppedLeader | undefined {
  const { record, storeNowMs, last: isLast, lapsedForMs } = message;
  const decoded = decodePlacement({ value: record });
  if (decoded.isErr()) return undefined;
  return { placement: decoded.value, unansweredForMs, storeNowMs, isLast, lapsedForMs };
}
