import type { LeaderLeaseRecord } from './placement-record.js';
import type { PlacementView } from './placement-view.js';

/** Identity and address of a leader. */
export type LeaderAddress = Pick<LeaderLeaseRecord, 'router' | 'address' | 'epoch'>;

/** The newest placement that another router knows beyond the store's copy. */
export interface FetchedPlacement {
  readonly view: PlacementView;
  /** The leader of the view's epoch, if that router knows its address. */
  readonly leader: Pick<LeaderLeaseRecord, 'address' | 'epoch'> | undefined;
  /** True if the leader of the view's epoch told that router of each move before its first order. */
  readonly isWitness: boolean;
  /** Time since a leader last answered or told that router, in milliseconds. */
  readonly heardAgoMs: number;
}
