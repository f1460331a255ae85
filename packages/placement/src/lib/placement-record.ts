import { PlatformError, type StoredRow } from '@boragepoint/platform';
import {
  type PlacementRecord,
  PlacementRecordSchema,
  type StoredHolder,
} from '@boragepoint/protocol';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Result } from 'neverthrow';

import type { ServerLife } from './key-range.js';

/** Table and key of the row that holds a fleet's placement. */
export const PLACEMENT_TABLE = 'boragepoint';
export const PLACEMENT_KEY = 'placement';

/** The router that leads placement. */
export interface Seat {
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
}

/** A server that may hold a range under a fencing token. */
export interface HolderRecord {
  readonly life: ServerLife;
  readonly fence: number;
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
  readonly seat: Seat;
  /** Rises with every write. */
  readonly version: number;
  /** Rises with every change of the ranges within an epoch. */
  readonly change: number;
  readonly nextFence: number;
  readonly services: ReadonlyMap<string, readonly RangeRecord[]>;
}

function encodeHolder({ life, fence }: HolderRecord) {
  return {
    server: life.server,
    address: life.address,
    startedMs: BigInt(life.startedMs),
    fence: BigInt(fence),
  };
}

function decodeHolder(it: StoredHolder): HolderRecord {
  const life = { server: it.server, address: it.address, startedMs: Number(it.startedMs) };
  return { life, fence: Number(it.fence) };
}

function encodeRange(range: RangeRecord) {
  return {
    first: range.first,
    last: range.last,
    ...(range.owner && { owner: encodeHolder(range.owner) }),
    former: range.former.map(encodeHolder),
  };
}

/** Encodes a placement for its row. */
export function encodePlacement({ seat, ...placement }: Placement): Uint8Array {
  const message = create(PlacementRecordSchema, {
    seat: {
      ...seat,
      startedMs: BigInt(seat.startedMs),
      epoch: BigInt(seat.epoch),
      untilMs: BigInt(Math.floor(seat.untilMs)),
      unansweredForMs: Math.ceil(seat.unansweredForMs),
    },
    version: BigInt(placement.version),
    change: BigInt(placement.change),
    nextFence: BigInt(placement.nextFence),
    services: [...placement.services].map(([service, ranges]) => ({
      service,
      ranges: ranges.map(encodeRange),
    })),
  });
  return toBinary(PlacementRecordSchema, message);
}

function decodeMessage(message: PlacementRecord): Placement {
  const { seat } = message;
  return {
    seat: {
      router: seat?.router ?? '',
      address: seat?.address ?? '',
      startedMs: Number(seat?.startedMs ?? 0),
      epoch: Number(seat?.epoch ?? 0),
      untilMs: Number(seat?.untilMs ?? 0),
      handedOver: seat?.handedOver ?? false,
      unansweredForMs: seat?.unansweredForMs ?? 0,
    },
    version: Number(message.version),
    change: Number(message.change),
    nextFence: Number(message.nextFence),
    services: new Map(
      message.services.map((it) => [
        it.service,
        it.ranges.map((range) => ({
          first: range.first,
          last: range.last,
          owner: range.owner && decodeHolder(range.owner),
          former: range.former.map(decodeHolder),
        })),
      ]),
    ),
  };
}

/** Decodes the placement's row. */
export function decodePlacement(row: StoredRow): Result<Placement, PlatformError> {
  return Result.fromThrowable(
    () => decodeMessage(fromBinary(PlacementRecordSchema, row.value)),
    (cause) => new PlatformError('the placement row is not readable', false, { cause }),
  )();
}
