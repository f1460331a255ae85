import type { RowStore, StoredRow } from '@boragepoint/platform';

import {
  PLACEMENT_KEY,
  PLACEMENT_TABLE,
  type Placement,
  type Seat,
  decodePlacement,
  encodePlacement,
} from './placement-record.js';
import type { Clocks } from './suspension-guard.js';

/** Length of a tenure; the seat is renewed about three times as often. */
export const TENURE_MS = 3_000;
/** How long a leader goes on renewing leases after the store stopped confirming its seat. */
export const RENEWAL_GRACE_MS = 10_000;

/** Who asks for the seat. */
export interface Candidate {
  readonly router: string;
  readonly address: string;
  readonly startedMs: number;
}

/** What the row says, and when it was read. */
export interface SeatReading {
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
export async function readSeat(store: RowStore, clocks: Clocks): Promise<SeatReading | undefined> {
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
export function mayTake(reading: SeatReading, candidate: Candidate): boolean {
  const seat = reading.placement?.seat;
  if (!seat || reading.storeNowMs >= seat.untilMs) return true;
  if (seat.handedOver) return seat.successor === '' || seat.successor === candidate.router;
  // An earlier life of this very router is gone.
  return seat.router === candidate.router && seat.startedMs !== candidate.startedMs;
}

/** What became of a write of the seat's row. */
export type SeatWrite = 'committed' | 'lost' | 'unknown';

/** What a leader that hands over says of its orders. */
export interface HandOverNote {
  /** Time until its grants without an answer have lapsed, in milliseconds. */
  readonly unansweredForMs: number;
  /** The router that may take the seat at once; anyone if it is missing. */
  readonly successor?: string | undefined;
}

/** A seat that this router holds. Writes are made one at a time by its owner. */
export interface LeaderSeat {
  readonly epoch: number;
  /**
   * Writes the row, with the tenure extended. `unknown`: write again, the seat is not lost yet.
   * With `handOver` the seat is free at once.
   */
  write(content: Omit<Placement, 'seat'>, handOver?: HandOverNote): Promise<SeatWrite>;
  /** The tenure runs: nobody else can have taken the seat. */
  isConfirmed(): boolean;
  /** Time since the last write that the store confirmed was sent, in milliseconds. */
  sinceConfirmedMs(): number;
  /** Latest time that the store's clock can show at a time of the monotonic clock. */
  storeTime(at: number): number;
  /** Counts the seat as unconfirmed until the next write succeeds. */
  distrust(): void;
}

/** What a seat needs. */
export interface LeaderSeatOptions {
  readonly store: RowStore;
  readonly clocks: Clocks;
  readonly candidate: Candidate;
  readonly reading: SeatReading;
}

/** Creates the seat for the next epoch; it is held once a first write is committed. */
export function createLeaderSeat(options: LeaderSeatOptions): LeaderSeat {
  const { store, clocks, candidate, reading } = options;
  const epoch = (reading.placement?.seat.epoch ?? 0) + 1;
  let { rowVersion } = reading;
  let storeClock = { nowMs: reading.storeNowMs, at: reading.askedAt };
  let confirmedAt = -Infinity;
  let confirmedUntil = -Infinity;

  const storeTime = (at: number) => storeClock.nowMs + (at - storeClock.at);

  function adopt(row: StoredRow | undefined, version: number): SeatWrite {
    const current = row && decodePlacement(row);
    if (!current?.isOk()) return 'lost';
    const { seat } = current.value;
    const isOwn =
      seat.epoch === epoch &&
      seat.router === candidate.router &&
      seat.startedMs === candidate.startedMs;
    if (!isOwn) return 'lost';
    rowVersion = row?.version ?? rowVersion;
    return current.value.version === version ? 'committed' : 'unknown';
  }

  async function write(
    content: Omit<Placement, 'seat'>,
    handOver?: HandOverNote,
  ): Promise<SeatWrite> {
    const sentAt = clocks.monotonic();
    const untilMs = storeTime(sentAt) + TENURE_MS;
    const seat: Seat = {
      ...candidate,
      epoch,
      untilMs,
      handedOver: handOver !== undefined,
      unansweredForMs: handOver?.unansweredForMs ?? 0,
      successor: handOver?.successor ?? '',
    };
    const value = encodePlacement({ seat, ...content });
    const answer = await store.put(PLACEMENT_TABLE, PLACEMENT_KEY, value, rowVersion);
    if (answer.isErr()) return 'unknown';
    const outcome = answer.value;
    if (outcome.kind === 'conflict') {
      const adopted = adopt(outcome.current, content.version);
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
    confirmedUntil = sentAt + TENURE_MS;
  }

  return {
    epoch,
    write,
    isConfirmed: () => clocks.monotonic() < confirmedUntil,
    sinceConfirmedMs: () => clocks.monotonic() - confirmedAt,
    storeTime,
    distrust() {
      confirmedUntil = -Infinity;
    },
  };
}
