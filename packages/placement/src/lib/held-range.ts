import type { KeySpan } from '@boragepoint/platform';

import type { ServerIncarnation } from './key-range.js';
import { type LeaseBound, noLease } from './lease-bound.js';
import type { HolderRecord, RangeRecord } from './placement-record.js';

/** An incarnation of a server that may hold a range, and until when. */
export interface Holder {
  readonly incarnation: ServerIncarnation;
  /** Fencing token of its grant. */
  fence: number;
  readonly bound: LeaseBound;
  /**
   * True until the holder has seen a fencing token of this leader: a grant of the former leader may
   * still reach it.
   */
  inherited: boolean;
}

/** A range as the leader tracks it. */
export interface HeldRange {
  first: number;
  last: number;
  owner: Holder | undefined;
  /** Former owners that may still hold the range under a lower fencing token. */
  former: Holder[];
  /** The owner has answered a grant. */
  granted: boolean;
  /** State that the last owner returned on release, to be passed to the next owner. */
  handover: string | undefined;
  /** A hand-over or the grant of a joined range is in progress. */
  busy: boolean;
  /** A renewal is in flight. */
  renewing: boolean;
  /** When the owner's grant was last answered, on the monotonic clock. */
  grantedAt: number;
  /** When a grant was last sent to the owner, on the monotonic clock. */
  renewedAt: number;
  /**
   * Number of the range's last change, for routers that know the placement up to an earlier one.
   */
  change: number;
}

/** Creates a holder without a lease. */
export function newHolder(incarnation: ServerIncarnation, fence: number): Holder {
  return { incarnation, fence, bound: noLease(), inherited: false };
}

/** Creates a range without an owner. */
export function unownedRange(span: KeySpan): HeldRange {
  return {
    first: span.first,
    last: span.last,
    owner: undefined,
    former: [],
    granted: false,
    handover: undefined,
    busy: false,
    renewing: false,
    grantedAt: -Infinity,
    renewedAt: -Infinity,
    change: 0,
  };
}

/** How a new leader interprets the times in a record, on its monotonic clock. */
export interface InheritedTimes {
  /** True if no owner holds its range any more, so that each has to be granted anew. */
  readonly leasesEnded: boolean;
  /**
   * Latest end of a lease whose grant was answered before the new leader acquired its leadership
   * lease. Unanswered grants of the former leader may last longer.
   */
  readonly answeredUntil: number;
  /** Converts a time of the store's clock to the latest monotonic time at which it can occur. */
  readonly toMonotonic: (storeMs: number) => number;
}

/**
 * Restores a former holder. It is granted nothing any more, so the end of its lease in the row is
 * final. If the record lacks that end, the lease counts as begun now at the latest.
 */
function inheritedFormer(record: HolderRecord, times: InheritedTimes): Holder {
  const { incarnation, fence, settled, heldUntilMs } = record;
  if (heldUntilMs === undefined) return inheritedHolder(record, times, !settled);
  const until = times.toMonotonic(heldUntilMs);
  const unansweredUntil = settled ? -Infinity : until;
  const bound = { ...noLease(), answeredUntil: until, unansweredUntil };
  return { incarnation, fence, bound, inherited: false };
}

function inheritedHolder(
  { incarnation, fence }: HolderRecord,
  { answeredUntil }: InheritedTimes,
  inherited: boolean,
): Holder {
  return { incarnation, fence, bound: { ...noLease(), answeredUntil }, inherited };
}

/**
 * Restores a range from its record. The owner may hold the range under a lease that began now at
 * the latest.
 */
export function inheritedRange(record: RangeRecord, times: InheritedTimes): HeldRange {
  return {
    ...unownedRange(record),
    owner: record.owner && inheritedHolder(record.owner, times, true),
    former: record.former.map((it) => inheritedFormer(it, times)),
    granted: record.owner !== undefined && record.former.length === 0 && !times.leasesEnded,
  };
}

function copyHolder(holder: Holder): Holder {
  return { ...holder, bound: { ...holder.bound } };
}

/** Copies a part of a range, with holders of its own. */
function copyPart(range: HeldRange, first: number, last: number): HeldRange {
  return {
    ...range,
    first,
    last,
    owner: range.owner && copyHolder(range.owner),
    former: range.former.map(copyHolder),
  };
}

/**
 * Splits an idle range around a span; returns all parts in key order, and the part that is the
 * span.
 */
export function cutOut(
  range: HeldRange,
  span: KeySpan,
): { readonly parts: HeldRange[]; readonly cut: HeldRange } {
  const cut = copyPart(range, span.first, span.last);
  const parts: HeldRange[] = [];
  if (range.first < span.first) parts.push(copyPart(range, range.first, span.first - 1));
  parts.push(cut);
  if (span.last < range.last) parts.push(copyPart(range, span.last + 1, range.last));
  return { parts, cut };
}

/** Times for the record of a range. */
export interface RecordTimes {
  /** The present, on the monotonic clock. */
  readonly now: number;
  /**
   * Returns the time from which a holder can't hold its range any more, on the store's clock in
   * milliseconds.
   */
  readonly heldUntilMs: (holder: Holder) => number;
}

/** Returns the record of a range. */
export function recordOf(range: HeldRange, { now, heldUntilMs }: RecordTimes): RangeRecord {
  const record = ({ incarnation, fence, bound, inherited }: Holder): HolderRecord => ({
    incarnation,
    fence,
    settled: !inherited && bound.unansweredUntil <= now,
  });
  return {
    first: range.first,
    last: range.last,
    owner: range.owner && record(range.owner),
    former: range.former.map((it) => ({ ...record(it), heldUntilMs: heldUntilMs(it) })),
  };
}
