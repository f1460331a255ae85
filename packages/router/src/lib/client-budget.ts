import { type GarbagePace, NO_PACE } from './garbage-pace.js';

const MEGABYTE = 1_000_000;
/** Memory of an instance where a part is used alone, without a router's settings, in MB. */
const DEFAULT_INSTANCE_MB = 768;
/** Memory that a router takes without clients, its garbage and code included, in MB. */
const BASE_MB = 90;
/** Smallest budget, so that a router on a tiny instance still serves, in MB. */
const MIN_BUDGET_MB = 16;
/** Share of the memory beyond the base that is held for clients; the rest is garbage not freed yet. */
const HELD_SHARE = 0.4;
/** Share of the budget from which it counts as short. */
const SHORT_SHARE = 0.75;

/**
 * What bytes are held for:
 * - `input`: read, and not passed to the HTTP parser.
 * - `requests`: what the HTTP library and the router hold for a request without its body.
 * - `smallBodies`, `bodies`: bodies of requests; large ones leave the small ones their room.
 * - `answers`: answers that clients have not read.
 * - `responses`: responses of backend servers that have not ended.
 */
export const HELD_KINDS = [
  'input',
  'requests',
  'smallBodies',
  'bodies',
  'answers',
  'responses',
] as const;
export type HeldKind = (typeof HELD_KINDS)[number];

/** Largest part of the budget for each kind, so that none displaces all others. */
const MAX_SHARES: Record<HeldKind, number> = {
  input: 0.2,
  requests: 0.25,
  smallBodies: 0.15,
  bodies: 0.5,
  answers: 0.5,
  responses: 0.35,
};

/** Counts the bytes that a process holds for clients. */
export interface ClientBudget {
  /** Counts bytes, or gives them back if their number is negative. */
  add(kind: HeldKind, bytes: number): void;
  /** Notes a buffer that was replaced by a larger one. */
  noteGarbage(bytes: number): void;
  /** Returns whether so many more bytes of a kind are within its part of the budget. */
  hasRoomOfKind(kind: HeldKind, bytes: number): boolean;
  /** The same, and within the whole budget. */
  hasRoom(kind: HeldKind, bytes: number): boolean;
  held(kind: HeldKind): number;
  /** Largest part of the budget for a kind, in bytes. */
  limitOf(kind: HeldKind): number;
  /** Held bytes as a share of the budget. */
  share(): number;
  /** Whether clients that don't go on lose their connections sooner. */
  isShort(): boolean;
}

/** The budget that follows from an instance's memory, in bytes. */
export function budgetBytes(instanceMb = DEFAULT_INSTANCE_MB): number {
  return Math.max(MIN_BUDGET_MB, (instanceMb - BASE_MB) * HELD_SHARE) * MEGABYTE;
}

/** Creates a budget of so many bytes; what it gives back becomes garbage of the pace. */
export function createClientBudget(
  limitBytes = budgetBytes(),
  pace: GarbagePace = NO_PACE,
): ClientBudget {
  const held: Record<HeldKind, number> = {
    input: 0,
    requests: 0,
    smallBodies: 0,
    bodies: 0,
    answers: 0,
    responses: 0,
  };
  let total = 0;
  const hasRoomOfKind = (kind: HeldKind, bytes: number) =>
    held[kind] + bytes <= limitBytes * MAX_SHARES[kind];
  const share = () => total / limitBytes;
  return {
    add(kind, bytes) {
      held[kind] += bytes;
      total += bytes;
      if (kind === 'input' && bytes > 0) pace.noteRead(bytes);
      if (kind === 'answers' && bytes < 0) pace.noteReleased(-bytes);
    },
    noteGarbage(bytes) {
      pace.noteReleased(bytes);
    },
    hasRoomOfKind,
    hasRoom: (kind, bytes) => hasRoomOfKind(kind, bytes) && total + bytes <= limitBytes,
    held: (kind) => held[kind],
    limitOf: (kind) => limitBytes * MAX_SHARES[kind],
    share,
    isShort: () =>
      share() >= SHORT_SHARE ||
      HELD_KINDS.some((kind) => held[kind] >= limitBytes * MAX_SHARES[kind] * SHORT_SHARE),
  };
}
