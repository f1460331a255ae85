import { groupBy } from './group-by.js';
import type {
  GrantedEvent,
  LapsedEvent,
  RanEvent,
  ReleasedEvent,
  TraceEvent,
} from './trace-event.js';
import type { TraceViolation } from './trace-violation.js';

/** Period during which a backend server held a shard under one epoch, in milliseconds. */
interface OwnershipPeriod {
  readonly server: string;
  readonly epoch: number;
  readonly from: number;
  /** Infinite when the trace ends before the period does. */
  until: number;
}

type ShardEvent = RanEvent | GrantedEvent | ReleasedEvent | LapsedEvent;

function isShardEvent(event: TraceEvent): event is ShardEvent {
  return ['ran', 'granted', 'released', 'lapsed'].includes(event.kind);
}

/**
 * Checks that a shard has one owner at a time, that the epochs of its grants never decrease, that
 * each epoch belongs to one server, and that requests ran at the owner under its epoch. @internal
 */
export function checkOwners(events: readonly TraceEvent[]): TraceViolation[] {
  const shards = groupBy(events.filter(isShardEvent), (it) => `${it.service}/${it.shard}`);
  return [...shards].flatMap(([name, ofShard]) => {
    const periods = periodsOf(ofShard, events);
    return [
      ...checkOverlaps(name, periods),
      ...checkEpochs(name, periods),
      ...checkRuns(ofShard, periods),
    ];
  });
}

function periodsOf(
  ofShard: readonly ShardEvent[],
  events: readonly TraceEvent[],
): OwnershipPeriod[] {
  const periods: OwnershipPeriod[] = [];
  for (const event of ofShard) {
    if (event.kind !== 'granted') continue;
    const { server, epoch, at: from } = event;
    const endTimes = ofShard.filter((it) => endsPeriod(it, event)).map((it) => it.at);
    const stopTimes = events
      .filter((it) => it.kind === 'stopped' && it.server === server && it.at >= from)
      .map((it) => it.at);
    periods.push({ server, epoch, from, until: Math.min(...endTimes, ...stopTimes) });
  }
  return periods;
}

function endsPeriod(event: ShardEvent, granted: GrantedEvent): boolean {
  if (event.server !== granted.server || event.at < granted.at) return false;
  if (event.kind === 'granted') return event.epoch > granted.epoch;
  if (event.kind === 'ran') return false;
  // A release or lapse covers all epochs up to the one that it names.
  return event.epoch >= granted.epoch;
}

function checkOverlaps(shard: string, periods: readonly OwnershipPeriod[]): TraceViolation[] {
  const found: TraceViolation[] = [];
  for (const [index, later] of periods.entries()) {
    const earlier = periods
      .slice(0, index)
      .find((it) => it.server !== later.server && it.until > later.from);
    if (earlier === undefined) continue;
    const message = `${shard}: ${later.server} was granted epoch ${later.epoch} while ${earlier.server} held epoch ${earlier.epoch}`;
    found.push({ rule: 'one-owner', at: later.from, message });
  }
  return found;
}

function checkEpochs(shard: string, periods: readonly OwnershipPeriod[]): TraceViolation[] {
  return periods.flatMap((later, index) => {
    const before = periods.slice(0, index);
    const higher = before.find((it) => it.epoch > later.epoch);
    const same = before.find((it) => it.epoch === later.epoch && it.server !== later.server);
    const found: TraceViolation[] = [];
    if (higher !== undefined) {
      const message = `${shard}: epoch ${later.epoch} was granted after epoch ${higher.epoch}`;
      found.push({ rule: 'epoch-rises', at: later.from, message });
    }
    if (same !== undefined) {
      const message = `${shard}: epoch ${later.epoch} was granted to ${same.server} and ${later.server}`;
      found.push({ rule: 'epoch-owner', at: later.from, message });
    }
    return found;
  });
}

function checkRuns(
  ofShard: readonly ShardEvent[],
  periods: readonly OwnershipPeriod[],
): TraceViolation[] {
  // Backend servers that do not check ownership record no grants.
  if (periods.length === 0) return [];
  return ofShard.flatMap((event): TraceViolation[] => {
    if (event.kind !== 'ran') return [];
    const isCovered = periods.some(
      (it) =>
        it.server === event.server &&
        it.epoch === event.epoch &&
        it.from <= event.at &&
        event.at <= it.until,
    );
    if (isCovered) return [];
    const message = `${event.requestId} ran at ${event.server} under epoch ${event.epoch}, which it did not hold then`;
    return [{ rule: 'run-under-grant', at: event.at, message }];
  });
}
