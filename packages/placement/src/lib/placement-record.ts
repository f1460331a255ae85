import { PlatformError, type StoredRow } from '@boragepoint/platform';
import {
  type PlacementRecord,
  PlacementRecordSchema,
  type StoredHolder,
  type StoredService,
} from '@boragepoint/protocol';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Result } from 'neverthrow';

import type { ServerIncarnation } from './key-range.js';
import { type AgedRun, decodeRun, encodeRun } from './suspect-run.js';

/** Table and key of the row that holds a fleet's placement. */
export const PLACEMENT_TABLE = 'boragepoint';
export const PLACEMENT_KEY = 'placement';

/** The router that leads placement. */
export interface LeaderLeaseRecord {
  readonly router: string;
  /** Address for peers. */
  readonly address: string;
  readonly startedMs: number;
  readonly epoch: number;
  /** End of the tenure on the store's clock, in milliseconds. */
  readonly untilMs: number;
  readonly handedOver: boolean;
  /** After a hand-over: time until its grants without an answer have lapsed, in milliseconds. */
  readonly unansweredForMs: number;
  /** After a hand-over: the router that may take the seat at once; empty if anyone may. */
  readonly successor: string;
}

/** A server that may hold a range under a fencing token. */
export interface HolderRecord {
  readonly incarnation: ServerIncarnation;
  readonly fence: number;
  /** No grant to it is without an answer; once it has let go of the range, it stays so. */
  readonly settled: boolean;
  /** When it can't hold the range any more, on the store's clock, in milliseconds; for former holders. */
  readonly heldUntilMs?: number;
}

/** A range as it is stored. */
export interface RangeRecord {
  readonly first: number;
  readonly last: number;
  readonly owner: HolderRecord | undefined;
  /** Servers that may still hold the range under a lower token. */
  readonly former: readonly HolderRecord[];
}

/** A fleet's placement as it is stored. */
export interface Placement {
  readonly leaderLease: LeaderLeaseRecord;
  /** Rises with every write. */
  readonly version: number;
  /** Rises with every change of the ranges within an epoch. */
  readonly change: number;
  readonly nextFence: number;
  readonly services: ReadonlyMap<string, readonly RangeRecord[]>;
  /** Runs that ended their backend servers, or may have. */
  readonly suspects: readonly AgedRun[];
  /** Where some other routers answered lately. */
  readonly peers: readonly string[];
}

/** Encodes a service; each life is written once and named by its place in the list. */
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

function decodeService({ ranges, lives }: StoredService): RangeRecord[] {
  function decodeHolder({ life: index, fence, settled, heldUntilMs }: StoredHolder): HolderRecord {
    const stored = lives[index];
    if (!stored) throw new RangeError(`a range names life ${index} of ${lives.length}`);
    const { server, address, startedMs } = stored;
    const decoded = { server, address, startedMs: Number(startedMs) };
    return {
      incarnation: decoded,
      fence: Number(fence),
      settled,
      ...(heldUntilMs !== undefined && { heldUntilMs: Number(heldUntilMs) }),
    };
  }
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
  });
  return toBinary(PlacementRecordSchema, message);
}

function decodeMessage(message: PlacementRecord): Placement {
  const { seat: leaderLease } = message;
  return {
    leaderLease: {
      router: leaderLease?.router ?? '',
      address: leaderLease?.address ?? '',
      startedMs: Number(leaderLease?.startedMs ?? 0),
      epoch: Number(leaderLease?.epoch ?? 0),
      untilMs: Number(leaderLease?.untilMs ?? 0),
      handedOver: leaderLease?.handedOver ?? false,
      unansweredForMs: leaderLease?.unansweredForMs ?? 0,
      successor: leaderLease?.successor ?? '',
    },
    version: Number(message.version),
    change: Number(message.change),
    nextFence: Number(message.nextFence),
    services: new Map(message.services.map((it) => [it.service, decodeService(it)])),
    suspects: message.suspects.flatMap((it) => decodeRun(it) ?? []),
    peers: message.peers,
  };
}

/** Decodes the placement's row. */
export function decodePlacement(row: StoredRow): Result<Placement, PlatformError> {
  return Result.fromThrowable(
    () => decodeMessage(fromBinary(PlacementRecordSchema, row.value)),
    (cause) => new PlatformError('the placement row is not readable', false, { cause }),
  )();
}
