import type { KeySpan } from '@boragepoint/platform';

import type { ServerIncarnation } from './key-range.js';
import { type LeaseBound, noLease } from './lease-bound.js';
import type { HolderRecord, RangeRecord } from './placement-record.js';

/** A server that may hold a range, and until when. */
export interface Holder {
  readonly incarnation: ServerIncarnation;
  /** Fencing token of its grant. */
  fence: number;
  readonly bound: LeaseBound;
  /** A grant of the former leader may still reach it: it has not seen a token of this one. */
  inherited: boolean;
}

/** A range as its leader sees it. */
export interface HeldRange {
  first: number;
  last: number;
  owner: Holder | undefined;
  /** Servers that may still hold the range under a lower token. */
  former: Holder[];
  /** The owner answered a grant. */
  granted: boolean;
  /** State that the last owner handed over, for the next one. */
  handover: string | undefined;
  /** The range is changing hands. */
  busy: boolean;
  /** A renewal is on its way. */
  renewing: boolean;
  /** When the owner's grant was last answered, on the monotonic clock. */
  grantedAt: number;
  /** When a grant was last sent to the owner, on the monotonic clock. */
  renewedAt: number;
  /** Number of the last change of its owner, for routers that know the ones before. */
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

/** How a new leader reads the times of a record; both on its monotonic clock. */
export interface InheritedTimes {
  /** Latest end of a lease that began before it took the seat. */
  readonly answeredUntil: number;
  /** Latest local time that a time of the store's clock can be. */
  readonly toMonotonic: (storeMs: number) => number;
}

/** A former holder gets nothing any more, so what the row says of its lease is final. */
function inheritedFormer(record: HolderRecord, times: InheritedTimes): Holder {
  const { incarnation, fence, settled, heldUntilMs } = record;
  if (heldUntilMs === undefined) return inheritedHolder(record, times, !settled);
  const until = times.toMonotonic(heldUntilMs);
  const unansweredUntil = settled ? -Infinity : until;
  return { incarnation, fence, bound: { answeredUntil: until, unansweredUntil }, inherited: false };
}

function inheritedHolder(
  { incarnation, fence }: HolderRecord,
  { answeredUntil }: InheritedTimes,
  inherited: boolean,
): Holder {
  return { incarnation, fence, bound: { answeredUntil, unansweredUntil: -Infinity }, inherited };
}

/** Takes over a range from its record: its owner may hold it, for a lease that began just now at the latest. */
export function inheritedRange(record: RangeRecord, times: InheritedTimes): HeldRange {
  return {
    ...unownedRange(record),
    owner: record.owner && inheritedHolder(record.owner, times, true),
    former: record.former.map((it) => inheritedFormer(it, times)),
    granted: record.owner !== undefined && record.former.length === 0,
  };
}

function copyHolder(holder: Holder): Holder {
  return { ...holder, bound: { ...holder.bound } };
}

function part(range: HeldRange, first: number, last: number): HeldRange {
  return {
    ...range,
    first,
    last,
    owner: range.owner && copyHolder(range.owner),
    former: range.former.map(copyHolder),
  };
}

/** Cuts a span out of an idle range; returns the parts in order and the one that is the span. */
export function cutOut(
  range: HeldRange,
  span: KeySpan,
): { readonly parts: HeldRange[]; readonly cut: HeldRange } {
  const cut = part(range, span.first, span.last);
  const parts: HeldRange[] = [];
  if (range.first < span.first) parts.push(part(range, range.first, span.first - 1));
  parts.push(cut);
  if (span.last < range.last) parts.push(part(range, span.last + 1, range.last));
  return { parts, cut };
}

/** What the record of a range says of times. */
export interface RecordTimes {
  /** Now, on the monotonic clock. */
  readonly now: number;
  /** When a holder can't hold its range any more, on the store's clock. */
  readonly heldUntilMs: (holder: Holder) => number;
}

/** The record of a range. */
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
