import { type RowStore, type StoredRow, eraOf, inEra } from '@boragepoint/platform';

import type { OnUnusable } from './decode-list.js';
import {
  type LeaderLeaseRecord,
  PLACEMENT_TABLE,
  type Placement,
  decodePlacement,
  encodePlacement,
} from './placement-record.js';
import { findPlacementRows, placementKey } from './placement-rows.js';
import { type Clocks, createSuspensionGuard } from './suspension-guard.js';

/** Length of a leadership lease, in milliseconds; it is renewed about three times in that time. */
export const LEADER_LEASE_MS = 3_000;
/**
 * Time for which a leader goes on renewing servers' leases after its leadership lease has expired
 * without confirmation by the store, in milliseconds.
 */
export const RENEWAL_GRACE_MS = 4_000;

/** A router that may acquire the leadership lease. */
export interface Candidate {
  readonly router: string;
  readonly address: string;
  /** Start of the router's process, in milliseconds since the Unix epoch. */
  readonly startedMs: number;
}

/** Content of the placement's row, and when it was read. */
export interface LeaderLeaseReading {
  /** The era of the store in its answer. */
  readonly era: number;
  /** The placement of this era; `undefined` if no leader has written one. */
  readonly placement: Placement | undefined;
  /**
   * The latest placement of an earlier era. It is part of the copy from which the store came back,
   * and lacks what was written later.
   */
  readonly copy: Placement | undefined;
  /** Version of the row of this era; the number 0 of the era if there is none. */
  readonly rowVersion: number;
  /** Time of the store's clock in its answer, in milliseconds. */
  readonly storeNowMs: number;
  /** When the read was sent, on the monotonic clock. */
  readonly askedAt: number;
  /** When the answer was received, on the monotonic clock. */
  readonly receivedAt: number;
}

/**
 * Reads the placement's row; returns `undefined` if the store gives no usable answer.
 * `onUnusable` is called with a row that can't be used.
 */
export async function readLeaderLease(
  store: RowStore,
  clocks: Clocks,
  onUnusable?: OnUnusable,
): Promise<LeaderLeaseReading | undefined> {
  const askedAt = clocks.monotonic();
  const listed = await store.list(PLACEMENT_TABLE);
  if (listed.isErr()) return undefined;
  const receivedAt = clocks.monotonic();
  const era = eraOf(listed.value.version);
  const { present, earlier } = findPlacementRows(listed.value, era);
  // Without a present row, one of an earlier era that can't be read may hide what servers hold.
  const row = present ?? earlier;
  const decoded = row && decodePlacement(row);
  if (row && decoded?.isErr() === true) {
    const reason = String(decoded.error.cause);
    onUnusable?.({ source: PLACEMENT_TABLE, key: row.key, reason });
    return undefined;
  }
  const placement = decoded?.unwrapOr(undefined);
  return {
    era,
    placement: present && placement,
    copy: present ? undefined : placement,
    rowVersion: present?.version ?? inEra(era, 0),
    storeNowMs: listed.value.nowMs,
    askedAt,
    receivedAt,
  };
}

/**
 * Returns whether the leadership lease is free for a candidate, as far as the row of this era
 * tells.
 */
export function isLeaseFree(reading: LeaderLeaseReading, candidate: Candidate): boolean {
  const leaderLease = reading.placement?.leaderLease;
  if (!leaderLease || reading.storeNowMs >= leaderLease.untilMs) return true;
  if (leaderLease.handedOver)
    return leaderLease.successor === '' || leaderLease.successor === candidate.router;
  // An earlier incarnation of the same router has ended.
  return leaderLease.router === candidate.router && leaderLease.startedMs !== candidate.startedMs;
}

/** Outcome of a write of the placement's row. */
export type LeaseWriteResult = 'committed' | 'lost' | 'unknown';

/** What a leader writes when it hands over leadership. */
export interface HandOverNote {
  /** Time until its unanswered grants have expired, in milliseconds. */
  readonly unansweredForMs: number;
  /** The router that may acquire the lease immediately; any router if it is missing. */
  readonly successor?: string | undefined;
}

/** The leadership lease, as held by this router. The caller makes at most one write at a time. */
export interface LeaderLease {
  readonly epoch: number;
  /**
   * Writes the row and extends the lease. The result `unknown` means that the write must be
   * repeated; the lease is not lost yet. With `handOver`, the lease is released immediately.
   */
  write(
    content: Omit<Placement, 'leaderLease'>,
    handOver?: HandOverNote,
  ): Promise<LeaseWriteResult>;
  /** Returns whether the lease is valid, so that no other router can hold it. */
  isConfirmed(): boolean;
  /** Time since the last confirmed write was sent, in milliseconds. */
  sinceConfirmedMs(): number;
  /**
   * Converts a monotonic time to the latest time that the store's clock can show then, in
   * milliseconds.
   */
  storeTime(at: number): number;
  /**
   * Returns whether the lease had expired when the store came back from an older copy, so that it
   * was not continued.
   */
  isEndedByReturn(): boolean;
  /** Time since the lease expired, in milliseconds; 0 if it is valid, `Infinity` if not known. */
  lapsedForMs(): number;
  /** The era of the store in which the lease was confirmed last. */
  era(): number;
  /** Treats the lease as unconfirmed until a write succeeds that is sent from now on. */
  invalidate(): void;
}

/** Options of {@link createLeaderLease}. */
export interface LeaderLeaseOptions {
  readonly store: RowStore;
  readonly clocks: Clocks;
  readonly candidate: Candidate;
  readonly reading: LeaderLeaseReading;
  /** Highest epoch known besides the row's. */
  readonly knownEpoch?: number;
  /** Called when the store has come back from an older copy since the last write. */
  onReturn?(change: LeaseReturn): void;
}

/** What becomes of a leadership lease when the store has come back from an older copy. */
export interface LeaseReturn {
  readonly epoch: number;
  readonly era: number;
  /** False if another router may have led since the last confirmed write. */
  readonly isContinued: boolean;
}

/** Creates the leadership lease of the next epoch; it is held once a first write is committed. */
export function createLeaderLease(options: LeaderLeaseOptions): LeaderLease {
  const { store, clocks, candidate, reading } = options;
  const usedEpoch = Math.max(
    reading.placement?.leaderLease.epoch ?? 0,
    options.knownEpoch ?? 0,
    inEra(reading.era, 0),
  );
  const epoch = usedEpoch + 1;
  const guard = createSuspensionGuard(clocks);
  let { era, rowVersion } = reading;
  let storeClock = { nowMs: reading.storeNowMs, at: reading.askedAt };
  let confirmedAt = -Infinity;
  let confirmedUntil = -Infinity;
  let invalidatedAt = -Infinity;
  let isEndedByReturn = false;
  let confirmedEra = -1;

  const storeTime = (at: number) => storeClock.nowMs + (at - storeClock.at);

  function resolveConflict(row: StoredRow | undefined, version: number): LeaseWriteResult {
    const current = row && decodePlacement(row);
    if (!current?.isOk()) return 'lost';
    const { leaderLease } = current.value;
    const isOwn =
      leaderLease.epoch === epoch &&
      leaderLease.router === candidate.router &&
      leaderLease.startedMs === candidate.startedMs;
    if (!isOwn) return 'lost';
    rowVersion = row?.version ?? rowVersion;
    return current.value.version === version ? 'committed' : 'unknown';
  }

  /**
   * Continues the lease in a new era, whose row does not exist yet. Until the lease expires, no
   * other router can have acquired it in the earlier era, and none has yet in this one: the next
   * write tells. Returns false if the lease has expired, or may have unnoticed.
   */
  function enterEra(next: number, nowMs: number, sentAt: number): boolean {
    const isContinued = clocks.monotonic() < confirmedUntil && !guard.mayHaveBeenSuspended();
    options.onReturn?.({ epoch, era: next, isContinued });
    isEndedByReturn = !isContinued;
    if (!isContinued) return false;
    era = next;
    rowVersion = inEra(next, 0);
    storeClock = { nowMs, at: sentAt };
    return true;
  }

  async function write(
    content: Omit<Placement, 'leaderLease'>,
    handOver?: HandOverNote,
  ): Promise<LeaseWriteResult> {
    const sentAt = clocks.monotonic();
    const untilMs = storeTime(sentAt) + LEADER_LEASE_MS;
    const leaderLease: LeaderLeaseRecord = {
      ...candidate,
      epoch,
      untilMs,
      handedOver: handOver !== undefined,
      unansweredForMs: handOver?.unansweredForMs ?? 0,
      successor: handOver?.successor ?? '',
    };
    const value = encodePlacement({ leaderLease, ...content });
    const answer = await store.put(PLACEMENT_TABLE, placementKey(era), value, rowVersion);
    if (answer.isErr()) return 'unknown';
    const outcome = answer.value;
    if (outcome.kind === 'other-era') {
      return enterEra(outcome.era, outcome.nowMs, sentAt) ? write(content, handOver) : 'lost';
    }
    if (outcome.kind === 'conflict') {
      const adopted = resolveConflict(outcome.current, content.version);
      if (adopted === 'committed') confirm(sentAt);
      return adopted;
    }
    rowVersion = outcome.version;
    storeClock = { nowMs: outcome.nowMs, at: sentAt };
    confirm(sentAt);
    return 'committed';
  }

  /**
   * Extends the lease from when a confirmed write was sent. The monotonic clock does not count a
   * suspension since then, so that such a write does not show that the lease is still valid.
   */
  function confirm(sentAt: number): void {
    if (guard.mayHaveBeenSuspended()) invalidate();
    if (sentAt <= invalidatedAt) return;
    confirmedEra = era;
    confirmedAt = sentAt;
    confirmedUntil = sentAt + LEADER_LEASE_MS;
  }

  function invalidate(): void {
    confirmedUntil = -Infinity;
    invalidatedAt = clocks.monotonic();
  }

  return {
    epoch,
    write,
    isConfirmed: () => clocks.monotonic() < confirmedUntil,
    sinceConfirmedMs: () => clocks.monotonic() - confirmedAt,
    storeTime,
    isEndedByReturn: () => isEndedByReturn,
    era: () => confirmedEra,
    lapsedForMs: () => Math.max(0, clocks.monotonic() - confirmedUntil),
    invalidate,
  };
}
