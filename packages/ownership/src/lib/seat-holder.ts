import type { StandDownAnswer } from './keeper-peers.js';
import { isOwnSeat } from './keeper-seats.js';
import { type LeaseRenewer, createLeaseRenewer } from './lease-renewer.js';
import type { OwnershipContext } from './ownership-context.js';
import { monotonicMs } from './pause.js';
import type { HeldRow } from './row-store.js';
import type { KeeperRow, KeeperSeat } from './table-rows.js';

/** Silence of the acting keeper after which its standby steps in, in milliseconds. */
export const STEP_IN_AFTER_MS = 350;

/** Time that a standby which stepped in has to enter the row, in milliseconds. */
const RECLAIM_AFTER_MS = 1_000;

/** A seat under which this router renews a backend server. */
export interface HeldSeat {
  readonly seat: KeeperSeat;
  readonly renewer: LeaseRenewer;
  /** False for a standby that has stepped in. */
  readonly isActing: boolean;
  /** When this router took the seat, on the monotonic clock. */
  readonly since: number;
  /**
   * Who else may renew under a lower keeper epoch until the backend server has accepted this one: the
   * standby that this router itself took out of the row, nobody, or routers that are not known.
   */
  readonly former: KeeperSeat | 'nobody' | 'not-known';
}

/** Decides under which seat, if any, this router may renew one backend server. */
export interface SeatHolder {
  /** Takes the seat that the row gives this router; `undefined` when it may not renew. */
  take(row: HeldRow<KeeperRow>): HeldSeat | undefined;
  /** The seat held under the row without taking a new one. */
  current(row: KeeperRow): HeldSeat | undefined;
  /**
   * True while a keeper before this one may have moved shards without a record (rule 9): nothing is
   * granted then.
   */
  mayHaveMoved(): boolean;
  /** Notes that no earlier keeper has moved shards without a record. */
  noteNothingMoved(): void;
  /** Notes that the backend server has seen a higher keeper epoch. */
  noteRefused(): void;
  /**
   * True while the row names this router although the backend server refuses it, and the standby that
   * stepped in does not enter the row: it is out of reach, or has stood down since. This router must
   * take new epochs then.
   */
  mustReclaim(row: KeeperRow): boolean;
  /** Stands down from the standby's seat. */
  standDown(): StandDownAnswer;
  /** True while this router holds the standby's seat but may not renew from it any more. */
  isBarredStandby(row: KeeperRow): boolean;
}

/** Creates the holder for one backend server. */
export function createSeatHolder(ctx: OwnershipContext, serverId: string): SeatHolder {
  let held: HeldSeat | undefined;
  let actedVersion = 0;
  let actedStandby: KeeperSeat | undefined;
  let stoodDownEpoch = 0;
  let steppedInEpoch = 0;
  let refusedEpoch = 0;
  let refusedAt = 0;
  let mayHaveMoved = false;

  function ownSeat(row: KeeperRow): KeeperSeat | undefined {
    if (isOwnSeat(ctx, row.acting)) return row.acting;
    if (isOwnSeat(ctx, row.standby)) return row.standby;
    return undefined;
  }

  function isBarred(seat: KeeperSeat): boolean {
    return refusedEpoch >= seat.epoch || stoodDownEpoch >= seat.epoch;
  }

  function mayRenew(row: KeeperRow, seat: KeeperSeat): boolean {
    if (isBarred(seat)) return false;
    if (isOwnSeat(ctx, row.acting) || steppedInEpoch === seat.epoch) return true;
    return stepIn(row, seat);
  }

  /** As the standby: steps in when the acting keeper is silent. */
  function stepIn(row: KeeperRow, seat: KeeperSeat): boolean {
    const { router, incarnation } = row.acting;
    if (ctx.membership.silenceOf(router, incarnation) < STEP_IN_AFTER_MS) return false;
    steppedInEpoch = seat.epoch;
    ctx.journal.add('takeover', { server: serverId }, `the keeper ${router} is silent`);
    return true;
  }

  function hold(row: HeldRow<KeeperRow>, seat: KeeperSeat): HeldSeat {
    const isActing = isOwnSeat(ctx, row.value.acting);
    if (held?.seat.epoch === seat.epoch) return { ...held, isActing };
    const wasKeeper = actedVersion + 1 === row.version;
    mayHaveMoved = isActing && !wasKeeper && seat.epoch > 1;
    const router = ctx.membership.self.id;
    const former = wasKeeper ? formerOf(row.value) : 'not-known';
    const renewer = createLeaseRenewer(ctx.lease, router, seat.epoch, held?.renewer);
    ctx.journal.add('takeover', { server: serverId }, `keeper epoch ${seat.epoch}`);
    return { seat, renewer, isActing, since: monotonicMs(), former };
  }

  /** As the keeper already: only the standby of the row before is left, if the server had accepted us. */
  function formerOf(row: KeeperRow): HeldSeat['former'] {
    if (held?.renewer.isFenced(row.serverStart) !== true) return 'not-known';
    return actedStandby ?? 'nobody';
  }

  return {
    take(row) {
      const seat = ownSeat(row.value);
      if (seat === undefined || !mayRenew(row.value, seat)) return undefined;
      held = hold(row, seat);
      if (held.isActing) {
        actedVersion = row.version;
        actedStandby = row.value.standby;
      }
      return held;
    },
    current(row) {
      const seat = ownSeat(row);
      const isHeld = seat !== undefined && held?.seat.epoch === seat.epoch;
      return isHeld && !isBarred(seat) ? held : undefined;
    },
    mayHaveMoved: () => mayHaveMoved,
    noteNothingMoved() {
      mayHaveMoved = false;
    },
    noteRefused() {
      refusedEpoch = held?.seat.epoch ?? 0;
      refusedAt = monotonicMs();
    },
    mustReclaim({ acting, standby }) {
      if (!isOwnSeat(ctx, acting) || refusedEpoch < acting.epoch) return false;
      if (monotonicMs() > refusedAt + RECLAIM_AFTER_MS) return true;
      return standby === undefined || !ctx.membership.isLive(standby.router, standby.incarnation);
    },
    isBarredStandby: ({ standby }) =>
      standby !== undefined && isOwnSeat(ctx, standby) && isBarred(standby),
    standDown() {
      const row = ctx.map.keeper(serverId)?.value;
      const seat = row && ownSeat(row);
      if (row === undefined || seat === undefined) return { accepted: true, hasActed: false };
      if (isOwnSeat(ctx, row.acting)) return { accepted: false, hasActed: true };
      stoodDownEpoch = Math.max(stoodDownEpoch, seat.epoch);
      return { accepted: true, hasActed: steppedInEpoch >= seat.epoch };
    },
  };
}
