import { isCallable } from '@boragepoint/config';
import { PlatformError, type StoredRow } from '@boragepoint/platform';
import {
  type PlacementRecord,
  PlacementRecordSchema,
  type StoredHolder,
  type StoredService,
} from '@boragepoint/protocol';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Result } from 'neverthrow';

import { type ServerIncarnation, isInOrder } from './key-range.js';
import { type AgedRun, decodeRun, encodeRun } from './suspect-run.js';
import { requireCount } from './wire-number.js';

/** Table of the row that holds a fleet's placement. */
export const PLACEMENT_TABLE = 'boragepoint';
/** Key of that row. */
export const PLACEMENT_KEY = 'placement';

/** The leadership lease, as stored in the row; the wire format calls it the seat. */
export interface LeaderLeaseRecord {
  readonly router: string;
  /** Address of the leader for other routers. */
  readonly address: string;
  /** Start of the leader's process, in milliseconds since the Unix epoch. */
  readonly startedMs: number;
  readonly epoch: number;
  /** End of the lease on the store's clock, in milliseconds. */
  readonly untilMs: number;
  /** True once the leader has handed over leadership. */
  readonly handedOver: boolean;
  /** After a hand-over: time until the leader's unanswered grants have expired, in milliseconds. */
  readonly unansweredForMs: number;
  /**
   * After a hand-over: the router that may acquire the lease immediately; empty if any router may.
   */
  readonly successor: string;
}

/** Returns the record of a lease that a router does not hold any more, or never held. */
export function releasedLease(
  router: Pick<LeaderLeaseRecord, 'router' | 'address' | 'startedMs'>,
  epoch: number,
): LeaderLeaseRecord {
  return { ...router, epoch, untilMs: 0, handedOver: true, unansweredForMs: 0, successor: '' };
}

/** A server that may hold a range under a fencing token. */
export interface HolderRecord {
  readonly incarnation: ServerIncarnation;
  readonly fence: number;
  /** True if no grant to the holder is unanswered; for a former holder this is final. */
  readonly settled: boolean;
  /**
   * For former holders: when the holder can't hold the range any more, on the store's clock in
   * milliseconds.
   */
  readonly heldUntilMs?: number;
}

/** A range, as stored. */
export interface RangeRecord {
  readonly first: number;
  readonly last: number;
  readonly owner: HolderRecord | undefined;
  /** Former owners that may still hold the range under a lower fencing token. */
  readonly former: readonly HolderRecord[];
}

/** A fleet's placement, as stored. */
export interface Placement {
  readonly leaderLease: LeaderLeaseRecord;
  /** Increases with each write. */
  readonly version: number;
  /** Increases with each change of the ranges within an epoch. */
  readonly change: number;
  /** The next unused fencing token. */
  readonly nextFence: number;
  readonly services: ReadonlyMap<string, readonly RangeRecord[]>;
  /** Runs that ended their backend servers, or may have. */
  readonly suspects: readonly AgedRun[];
  /** Addresses of some other routers that answered recently. */
  readonly peers: readonly string[];
  /**
   * True if servers other than the owners may hold ranges, because the leader has not released them
   * there yet.
   */
  readonly isUnverified?: boolean;
  /** Processor time of the strongest router known, in cores; missing if unknown. */
  readonly strongestCapacity?: number;
}

/** Encodes a service; each incarnation is written once and referenced by its index. */
function encodeService(service: string, ranges: readonly RangeRecord[]) {
  const incarnations: ServerIncarnation[] = [];
  const indices = new Map<string, number>();

  function indexOf(incarnation: ServerIncarnation): number {
    const key = `${incarnation.server} ${incarnation.startedMs}`;
    const index = indices.get(key) ?? incarnations.push(incarnation) - 1;
    indices.set(key, index);
    return index;
  }

  const encodeHolder = ({ incarnation, fence, settled, heldUntilMs }: HolderRecord) => ({
    life: indexOf(incarnation),
    fence: BigInt(fence),
    settled,
    ...(heldUntilMs !== undefined && { heldUntilMs: BigInt(Math.ceil(heldUntilMs)) }),
  });
  const encoded = ranges.map((range) => ({
    first: range.first,
    last: range.last,
    ...(range.owner && { owner: encodeHolder(range.owner) }),
    former: range.former.map(encodeHolder),
  }));
  const stored = incarnations.map((it) => ({ ...it, startedMs: BigInt(it.startedMs) }));
  return { service, ranges: encoded, lives: stored };
}

function decodeService({ service, ranges, lives }: StoredService): RangeRecord[] {
  function decodeHolder({ life: index, fence, settled, heldUntilMs }: StoredHolder): HolderRecord {
    const stored = lives[index];
    if (!stored) throw new RangeError(`a range refers to incarnation ${index} of ${lives.length}`);
    const { server, address, startedMs } = stored;
    const decoded = { server, address, startedMs: requireCount(startedMs) };
    return {
      incarnation: decoded,
      fence: requireCount(fence),
      settled,
      ...(heldUntilMs !== undefined && { heldUntilMs: requireCount(heldUntilMs) }),
    };
  }
  if (!isInOrder(ranges)) throw new RangeError(`the ranges of ${service} are out of order`);
  return ranges.map((range) => ({
    first: range.first,
    last: range.last,
    owner: range.owner && decodeHolder(range.owner),
    former: range.former.map(decodeHolder),
  }));
}

/** Encodes a placement for its row. */
export function encodePlacement({ leaderLease, ...placement }: Placement): Uint8Array {
  const message = create(PlacementRecordSchema, {
    seat: {
      ...leaderLease,
      startedMs: BigInt(leaderLease.startedMs),
      epoch: BigInt(leaderLease.epoch),
      untilMs: BigInt(Math.floor(leaderLease.untilMs)),
      unansweredForMs: Math.ceil(leaderLease.unansweredForMs),
    },
    version: BigInt(placement.version),
    change: BigInt(placement.change),
    nextFence: BigInt(placement.nextFence),
    services: [...placement.services].map(([service, ranges]) => encodeService(service, ranges)),
    suspects: placement.suspects.map(encodeRun),
    peers: [...placement.peers],
    unverified: placement.isUnverified ?? false,
    strongestCapacity: placement.strongestCapacity ?? 0,
  });
  return toBinary(PlacementRecordSchema, message);
}

function decodeMessage(message: PlacementRecord): Placement {
  const { seat: leaderLease, strongestCapacity } = message;
  const isCapacityKnown = strongestCapacity > 0 && strongestCapacity < Infinity;
  return {
    leaderLease: {
      router: leaderLease?.router ?? '',
      address: leaderLease?.address ?? '',
      startedMs: requireCount(leaderLease?.startedMs ?? 0n),
      epoch: requireCount(leaderLease?.epoch ?? 0n),
      untilMs: requireCount(leaderLease?.untilMs ?? 0n),
      handedOver: leaderLease?.handedOver ?? false,
      unansweredForMs: leaderLease?.unansweredForMs ?? 0,
      successor: leaderLease?.successor ?? '',
    },
    version: requireCount(message.version),
    change: requireCount(message.change),
    nextFence: requireCount(message.nextFence),
    services: new Map(message.services.map((it) => [it.service, decodeService(it)])),
    suspects: message.suspects.flatMap((it) => decodeRun(it) ?? []),
    peers: message.peers.filter(isCallable),
    ...(message.unverified && { isUnverified: true }),
    ...(isCapacityKnown && { strongestCapacity }),
  };
}

/** Decodes the placement's row. */
export function decodePlacement(
  row: Partial<StoredRow> & Pick<StoredRow, 'value'>,
): Result<Placement, PlatformError> {
  return Result.fromThrowable(
    () => decodeMessage(fromBinary(PlacementRecordSchema, row.value)),
    (cause) => new PlatformError('the placement row cannot be decoded', false, { cause }),
  )();
}
