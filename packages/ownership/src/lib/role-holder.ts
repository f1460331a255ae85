import type { StandDownAnswer } from './keeper-peers.js';
import { isOwnRole } from './keeper-roles.js';
import { type LeaseRenewer, createLeaseRenewer } from './lease-renewer.js';
import type { OwnershipContext } from './ownership-context.js';
import { monotonicMs } from './pause.js';
import type { VersionedRow } from './row-store.js';
import type { KeeperRole, KeeperRow } from './table-rows.js';

/** Time without a heartbeat of the acting keeper after which its standby takes over. */
export const STANDBY_TAKEOVER_AFTER_MS = 350;

/** Time for a standby that took over to enter the row before the refused keeper reclaims it. */
const RECLAIM_AFTER_MS = 1_000;

/** A role under which this router renews the lease of a backend server. */
export interface HeldRole {
  readonly role: KeeperRole;
  readonly renewer: LeaseRenewer;
  /** False for a standby that has taken over. */
  readonly isActing: boolean;
  /** When this router took the role, on the monotonic clock. */
  readonly takenAt: number;
  /**
   * Who else may renew under a lower keeper epoch until the backend server has accepted this epoch:
   * the standby that this router removed from the row, nobody, or routers that are not known.
   */
  readonly otherRenewer: KeeperRole | 'nobody' | 'not-known';
}

/** Decides under which role, if any, this router may renew the lease of one backend server. */
export interface RoleHolder {
  /** Takes the role that the row gives this router; `undefined` when it may not renew. */
  acquire(row: VersionedRow<KeeperRow>): HeldRole | undefined;
  /** Returns the role held under the row, without taking a new one. */
  current(row: KeeperRow): HeldRole | undefined;
  /**
   * True while an earlier keeper may have moved shards without a record (rule 9 in DESIGN.md). No
   * shard is granted then.
   */
  mayHaveUnrecordedMoves(): boolean;
  /** Notes that all moves of earlier keepers are recorded. */
  noteNoUnrecordedMoves(): void;
  /** Notes that the backend server has seen a higher keeper epoch. */
  noteRefused(seenEpoch: number): void;
  /**
   * Lowest keeper epoch for new roles: one that neither the row nor the backend server has seen. A
   * table that came back from an older copy has forgotten epochs that the server remembers.
   */
  nextEpoch(row: KeeperRow): number;
  /**
   * True when this router must take new epochs: the row names it, the backend server refuses it,
   * and the standby that took over does not enter the row. This is assumed at once if the standby
   * is unreachable or there is none; else 1 s after the refusal, since the standby may have stood
   * down meanwhile.
   */
  mustReclaim(row: KeeperRow): boolean;
  /** Stands down from the role of standby; the acting keeper refuses. */
  standDown(): StandDownAnswer;
  /** True while this router is the standby but may not renew, having stood down or been refused. */
  isDisabledStandby(row: KeeperRow): boolean;
}

/** Creates the holder for one backend server. */
export function createRoleHolder(ctx: OwnershipContext, serverId: string): RoleHolder {
  let held: HeldRole | undefined;
  /** Version of the latest row under which this router was the acting keeper. */
  let lastActingVersion = 0;
  /** Lowest keeper epoch that no role had in that row. */
  let lastNextEpoch = 0;
  /** Standby in that row. */
  let lastStandby: KeeperRole | undefined;
  /** Highest epoch of a standby's role from which this router has stood down. */
  let stoodDownEpoch = 0;
  /** Epoch under which this router last took over as the standby. */
  let takeoverEpoch = 0;
  /** Epoch under which the backend server last refused this router. */
  let refusedEpoch = 0;
  /** Highest keeper epoch that the backend server named when it refused this router. */
  let highestSeenEpoch = 0;
  /** When it refused this router, on the monotonic clock. */
  let refusedAt = 0;
  let mayHaveUnrecordedMoves = false;

  function ownRole(row: KeeperRow): KeeperRole | undefined {
    if (isOwnRole(ctx, row.acting)) return row.acting;
    if (isOwnRole(ctx, row.standby)) return row.standby;
    return undefined;
  }

  function isDisabled(role: KeeperRole): boolean {
    return refusedEpoch >= role.epoch || stoodDownEpoch >= role.epoch;
  }

  function mayRenew(row: KeeperRow, role: KeeperRole): boolean {
    if (isDisabled(role)) return false;
    if (isOwnRole(ctx, row.acting) || takeoverEpoch === role.epoch) return true;
    return takeOverIfSilent(row, role);
  }

  /** As the standby: takes over when the acting keeper sends no heartbeats. */
  function takeOverIfSilent(row: KeeperRow, role: KeeperRole): boolean {
    const { router, incarnation } = row.acting;
    if (ctx.membership.silentForMs(router, incarnation) < STANDBY_TAKEOVER_AFTER_MS) return false;
    takeoverEpoch = role.epoch;
    ctx.journal.add('takeover', { server: serverId }, `the keeper ${router} is silent`);
    return true;
  }

  function createHeldRole(row: VersionedRow<KeeperRow>, role: KeeperRole): HeldRole {
    const isActing = isOwnRole(ctx, row.value.acting);
    if (held?.role.epoch === role.epoch) return { ...held, isActing };
    // Each change of roles is one version of the row and takes the next epochs, so no other router
    // was acting in between. A row that was written back after a loss has a version that skips changes.
    const wasActing = lastActingVersion + 1 === row.version && role.epoch === lastNextEpoch;
    mayHaveUnrecordedMoves = isActing && !wasActing && role.epoch > 1;
    const router = ctx.membership.self.id;
    const otherRenewer = wasActing ? otherRenewerOf(row.value) : 'not-known';
    const renewer = createLeaseRenewer(ctx.leaseClient, router, role.epoch, held?.renewer);
    ctx.journal.add('takeover', { server: serverId }, `keeper epoch ${role.epoch}`);
    return { role, renewer, isActing, takenAt: monotonicMs(), otherRenewer };
  }

  /**
   * Returns who else may renew when this router was the acting keeper of the previous row version:
   * only that row's standby, provided the backend server had accepted this router's epoch.
   */
  function otherRenewerOf(row: KeeperRow): HeldRole['otherRenewer'] {
    if (held?.renewer.hasFenced(row.serverStart) !== true) return 'not-known';
    return lastStandby ?? 'nobody';
  }

  return {
    acquire(row) {
      const role = ownRole(row.value);
      if (role === undefined || !mayRenew(row.value, role)) return undefined;
      held = createHeldRole(row, role);
      if (held.isActing) {
        lastActingVersion = row.version;
        lastNextEpoch = row.value.nextEpoch;
        lastStandby = row.value.standby;
      }
      return held;
    },
    current(row) {
      const role = ownRole(row);
      const isHeld = role !== undefined && held?.role.epoch === role.epoch;
      return isHeld && !isDisabled(role) ? held : undefined;
    },
    mayHaveUnrecordedMoves: () => mayHaveUnrecordedMoves,
    noteNoUnrecordedMoves() {
      mayHaveUnrecordedMoves = false;
    },
    nextEpoch: (row) => Math.max(row.nextEpoch, highestSeenEpoch + 1),
    noteRefused(seenEpoch) {
      highestSeenEpoch = Math.max(highestSeenEpoch, seenEpoch);
      refusedEpoch = held?.role.epoch ?? 0;
      refusedAt = monotonicMs();
    },
    mustReclaim({ acting, standby }) {
      if (!isOwnRole(ctx, acting) || refusedEpoch < acting.epoch) return false;
      if (monotonicMs() > refusedAt + RECLAIM_AFTER_MS) return true;
      return standby === undefined || !ctx.membership.isLive(standby.router, standby.incarnation);
    },
    isDisabledStandby: ({ standby }) =>
      standby !== undefined && isOwnRole(ctx, standby) && isDisabled(standby),
    standDown() {
      const row = ctx.map.keeper(serverId)?.value;
      const role = row && ownRole(row);
      if (row === undefined || role === undefined) return { accepted: true, hasActed: false };
      if (isOwnRole(ctx, row.acting)) return { accepted: false, hasActed: true };
      stoodDownEpoch = Math.max(stoodDownEpoch, role.epoch);
      return { accepted: true, hasActed: takeoverEpoch >= role.epoch };
    },
  };
}
