import { groupBy } from './group-by.js';
import type { AssignedEvent, TraceEvent } from './trace-event.js';
import type { TraceViolation } from './trace-violation.js';

/**
 * Checks that the epoch of an assignment row never decreases with its version and increases with
 * each change of the owner, that two records of one version agree, and that no grant gives an epoch
 * to a server other than its owner in the row. @internal
 */
export function checkAssignments(events: readonly TraceEvent[]): TraceViolation[] {
  const assigned = events.filter((it) => it.kind === 'assigned');
  const shards = groupBy(assigned, (it) => `${it.service}/${it.shard}`);
  return [...shards].flatMap(([name, ofShard]) => {
    const inRowOrder = ofShard.toSorted((a, b) => a.version - b.version);
    return [...checkRowSequence(name, inRowOrder), ...checkGrantedEpochs(name, ofShard, events)];
  });
}

function checkRowSequence(shard: string, rows: readonly AssignedEvent[]): TraceViolation[] {
  return rows.flatMap((later, index) => {
    const earlier = rows[index - 1];
    if (earlier === undefined) return [];
    return [
      ...checkSameVersion(shard, earlier, later),
      ...checkEpochIncrease(shard, earlier, later),
    ];
  });
}

function checkSameVersion(
  shard: string,
  earlier: AssignedEvent,
  later: AssignedEvent,
): TraceViolation[] {
  const isSameVersion = earlier.version === later.version;
  const isSameContent = earlier.owner === later.owner && earlier.epoch === later.epoch;
  if (!isSameVersion || isSameContent) return [];
  const message = `${shard}: version ${later.version} names ${earlier.owner} under ${earlier.epoch} and ${later.owner} under ${later.epoch}`;
  return [{ rule: 'assignment-kept', at: later.at, message }];
}

function checkEpochIncrease(
  shard: string,
  earlier: AssignedEvent,
  later: AssignedEvent,
): TraceViolation[] {
  const sameOwner = earlier.owner === later.owner;
  const isIncreasing = sameOwner ? later.epoch >= earlier.epoch : later.epoch > earlier.epoch;
  if (isIncreasing || earlier.version === later.version) return [];
  const message = `${shard}: version ${later.version} of ${later.owner} has epoch ${later.epoch} after epoch ${earlier.epoch} of ${earlier.owner}`;
  return [{ rule: 'epoch-rises', at: later.at, message }];
}

function checkGrantedEpochs(
  shard: string,
  rows: readonly AssignedEvent[],
  events: readonly TraceEvent[],
): TraceViolation[] {
  return events.flatMap((event): TraceViolation[] => {
    if (event.kind !== 'granted' || `${event.service}/${event.shard}` !== shard) return [];
    const row = rows.find((it) => it.epoch === event.epoch && it.owner !== event.server);
    if (row === undefined) return [];
    const message = `${shard}: ${event.server} was granted epoch ${event.epoch}, which is ${row.owner}'s`;
    return [{ rule: 'epoch-owner', at: event.at, message }];
  });
}
