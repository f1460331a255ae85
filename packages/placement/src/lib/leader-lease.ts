import type { RowStore, StoredRow } from '@boragepoint/platform';

import {
  PLACEMENT_KEY,
  PLACEMENT_TABLE,
  type Placement,
  type LeaderLeaseRecord,
  decodePlacement,
  encodePlacement,
} from './placement-record.js';
import type { Clocks } from './suspension-guard.js';

/** Length of a tenure; the seat is renewed about three times as often. */
export const LEADER_LEASE_MS = 3_000;
/** How long a leader goes on renewing leases after the store stopped confirming its seat. */
export const RENEWAL_GRACE_MS = 10_000;

/** Who asks for the seat. */
export interface Candidate {
  readonly router: string;
  readonly address: string;
  readonly startedMs: number;
}

/** What the row says, and when it was read. */
export interface LeaderLeaseReading {
  readonly placement: Placement | undefined;
  /** Version of the row, 0 without one. */
  readonly rowVersion: number;
  /** The store's clock. */
  readonly storeNowMs: number;
  /** When the read was sent, on the monotonic clock. */
  readonly askedAt: number;
  /** When the answer was in, on the monotonic clock. */
  readonly receivedAt: number;
}

/** Reads the placement's row; `undefined` if the store gives no usable answer. */
export async function readLeaderLease(
  store: RowStore,
  clocks: Clocks,
): Promise<LeaderLeaseReading | undefined> {
  const askedAt = clocks.monotonic();
  const listed = await store.list(PLACEMENT_TABLE);
  if (listed.isErr()) return undefined;
  const receivedAt = clocks.monotonic();
  const row = listed.value.rows.find((it) => it.key === PLACEMENT_KEY);
  const placement = row && decodePlacement(row);
  if (placement?.isErr() === true) return undefined;
  return {
    placement: placement?.unwrapOr(undefined),
    rowVersion: row?.version ?? 0,
    storeNowMs: listed.value.nowMs,
    askedAt,
    receivedAt,
  };
}

/** Returns whether a candidate may take the seat now. */
export function mayAcquire(reading: LeaderLeaseReading, candidate: Candidate): boolean {
  const leaderLease = reading.placement?.leaderLease;
  if (!leaderLease || reading.storeNowMs >= leaderLease.untilMs) return true;
  if (leaderLease.handedOver)
    return leaderLease.successor === '' || leaderLease.successor === candidate.router;
  // An earlier life of this very router is gone.
  return leaderLease.router === candidate.router && leaderLease.startedMs !== candidate.startedMs;
}

/** What became of a write of the seat's row. */
export type LeaseWriteResult = 'committed' | 'lost' | 'unknown';

/** What a leader that hands over says of its orders. */
export interface HandOverNote {
  /** Time until its grants without an answer have lapsed, in milliseconds. */
  readonly unansweredForMs: number;
  /** The router that may take the seat at once; anyone if it is missing. */
  readonly successor?: string | undefined;
}

/** A seat that this router holds. Writes are made one at a time by its owner. */
export interface LeaderLease {
  readonly epoch: number;
  /**
   * Writes the row, with the tenure extended. `unknown`: write again, the seat is not lost yet.
   * With `handOver` the seat is free at once.
   */
  write(
    content: Omit<Placement, 'leaderLease'>,
    handOver?: HandOverNote,
  ): Promise<LeaseWriteResult>;
  /** The tenure runs: nobody else can have taken the seat. */
  isConfirmed(): boolean;
  /** Time since the last write that the store confirmed was sent, in milliseconds. */
  sinceConfirmedMs(): number;
  /** Latest time that the store's clock can show at a time of the monotonic clock. */
  storeTime(at: number): number;
  /** Counts the seat as unconfirmed until the next write succeeds. */
  invalidate(): void;
}

/** What a seat needs. */
export interface LeaderLeaseOptions {
  readonly store: RowStore;
  readonly clocks: Clocks;
  readonly candidate: Candidate;
  readonly reading: LeaderLeaseReading;
}

/** Creates the seat for the next epoch; it is held once a first write is committed. */
export function createLeaderLease(options: LeaderLeaseOptions): LeaderLease {
  const { store, clocks, candidate, reading } = options;
  const epoch = (reading.placement?.leaderLease.epoch ?? 0) + 1;
  let { rowVersion } = reading;
  let storeClock = { nowMs: reading.storeNowMs, at: reading.askedAt };
  let confirmedAt = -Infinity;
  let confirmedUntil = -Infinity;

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
    const answer = await store.put(PLACEMENT_TABLE, PLACEMENT_KEY, value, rowVersion);
    if (answer.isErr()) return 'unknown';
    const outcome = answer.value;
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

  function confirm(sentAt: number): void {
    confirmedAt = sentAt;
    confirmedUntil = sentAt + LEADER_LEASE_MS;
  }

  return {
    epoch,
    write,
    isConfirmed: () => clocks.monotonic() < confirmedUntil,
    sinceConfirmedMs: () => clocks.monotonic() - confirmedAt,
    storeTime,
    invalidate() {
      confirmedUntil = -Infinity;
    },
  };
}
