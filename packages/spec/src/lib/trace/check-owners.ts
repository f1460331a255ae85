import { groupBy } from './group-by.js';
import type {
  GrantedEvent,
  LapsedEvent,
  RanEvent,
  ReleasedEvent,
  TraceEvent,
} from './trace-event.js';
import type { TraceViolation } from './trace-violation.js';

/** Time during which one backend server held one shard under one epoch. */
interface Holding {
  readonly server: string;
  readonly epoch: number;
  readonly from: number;
  /** Milliseconds; infinite when the trace ends before the holding does. */
  until: number;
}

type ShardEvent = RanEvent | GrantedEvent | ReleasedEvent | LapsedEvent;

function isShardEvent(event: TraceEvent): event is ShardEvent {
  return ['ran', 'granted', 'released', 'lapsed'].includes(event.kind);
}

/** Checks one owner at a time, and that requests ran at the owner under its epoch. @internal */
export function checkOwners(events: readonly TraceEvent[]): TraceViolation[] {
  const shards = groupBy(events.filter(isShardEvent), (it) => `${it.service}/${it.shard}`);
  return [...shards].flatMap(([name, ofShard]) => {
    const holdings = holdingsOf(ofShard, events);
    return [...overlaps(name, holdings), ...epochSteps(name, holdings), ...runs(ofShard, holdings)];
  });
}

function holdingsOf(ofShard: readonly ShardEvent[], events: readonly TraceEvent[]): Holding[] {
  const holdings: Holding[] = [];
  for (const event of ofShard) {
    if (event.kind !== 'granted') continue;
    const { server, epoch, at: from } = event;
    const ends = ofShard.filter((it) => endsHolding(it, event)).map((it) => it.at);
    const stops = events
      .filter((it) => it.kind === 'stopped' && it.server === server && it.at >= from)
      .map((it) => it.at);
    holdings.push({ server, epoch, from, until: Math.min(...ends, ...stops) });
  }
  return holdings;
}

function endsHolding(event: ShardEvent, granted: GrantedEvent): boolean {
  if (event.server !== granted.server || event.at < granted.at) return false;
  if (event.kind === 'granted') return event.epoch > granted.epoch;
  if (event.kind === 'ran') return false;
  // A release covers all epochs up to the one that it names.
  return event.epoch >= granted.epoch;
}

function overlaps(shard: string, holdings: readonly Holding[]): TraceViolation[] {
  const found: TraceViolation[] = [];
  for (const [index, later] of holdings.entries()) {
    const earlier = holdings
      .slice(0, index)
      .find((it) => it.server !== later.server && it.until > later.from);
    if (earlier === undefined) continue;
    const message = `${shard}: ${later.server} was granted epoch ${later.epoch} while ${earlier.server} held epoch ${earlier.epoch}`;
    found.push({ rule: 'one-owner', at: later.from, message });
  }
  return found;
}

function epochSteps(shard: string, holdings: readonly Holding[]): TraceViolation[] {
  return holdings.flatMap((later, index) => {
    const before = holdings.slice(0, index);
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

function runs(ofShard: readonly ShardEvent[], holdings: readonly Holding[]): TraceViolation[] {
  // A backend server that does not check its orders holds no grants.
  if (holdings.length === 0) return [];
  return ofShard.flatMap((event): TraceViolation[] => {
    if (event.kind !== 'ran') return [];
    const isCovered = holdings.some(
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
