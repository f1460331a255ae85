import { isCallable } from '@boragepoint/config';
import type { OrderOutcome, RowUpdate, StoredRow } from '@boragepoint/platform';
import {
  type FetchPlacementResponse,
  type KeyRange,
  type LeaderSeat,
  type NotePlacementRequest,
  ReachServerResponse_Reach as Reach,
  type ReachServerRequest,
  type ReachServerResponse,
  type TableState,
  type TableUpdate,
} from '@boragepoint/protocol';

import { isInOrder } from './key-range.js';
import type { FetchedPlacement, LeaderAddress } from './leader-messages.js';
import type { PlacementView, RangeView } from './placement-view.js';
import type { NamedTableReport } from './report-messages.js';
import type { ReachRequest } from './server-reach.js';
import { decodeCount, requireCount } from './wire-number.js';
import type { PlacementNote } from './witnesses.js';

/** Longest time since a leader was heard that is told, in milliseconds. */
const MAX_HEARD_AGO_MS = 60_000;
/** Longest time since a table was known that is told, in milliseconds. */
const MAX_CONFIRMED_AGO_MS = 60_000;

type ViewMessage = Pick<FetchPlacementResponse, 'epoch' | 'change' | 'services'>;

const REACH_OF: Readonly<Partial<Record<OrderOutcome['kind'], Reach>>> = {
  done: Reach.DONE,
  closed: Reach.CLOSED,
  misdirected: Reach.MISDIRECTED,
};

/** Encodes what came of reaching a server; what says nothing of it is left out. */
export function encodeReach(outcome: OrderOutcome) {
  const handover = outcome.kind === 'done' ? outcome.handover : undefined;
  const reach = REACH_OF[outcome.kind] ?? Reach.UNSPECIFIED;
  return { reach, ...(handover !== undefined && { handover }) };
}

/** Decodes what came of reaching a server over another router. */
export function decodeReach({ reach, handover }: ReachServerResponse): OrderOutcome {
  if (reach === Reach.DONE) return { kind: 'done', handover };
  if (reach === Reach.CLOSED) return { kind: 'closed' };
  return { kind: reach === Reach.MISDIRECTED ? 'misdirected' : 'unanswered' };
}

/** Decodes a request to reach a server; throws if its numbers can't be told apart. */
export function decodeReachRequest(req: ReachServerRequest): ReachRequest {
  const { server, address, release, timeoutMs } = req;
  const { first, last, fence } = release ?? {};
  const isRelease = first !== undefined && last !== undefined && fence !== undefined;
  return {
    target: { serverId: server, address },
    release: isRelease ? { first, last, fence: requireCount(fence) } : undefined,
    timeoutMs,
  };
}

/** Decodes a row; `undefined` if its version can't be told apart. */
export function decodeRow(
  key: string,
  wireVersion: bigint,
  value: Uint8Array,
): StoredRow | undefined {
  const version = decodeCount(wireVersion);
  return version === undefined ? undefined : { key, version, value };
}

/** Decodes the changes of a table; `undefined` if their version can't be told apart. */
export function decodeRowUpdate(update: TableUpdate): RowUpdate | undefined {
  const version = decodeCount(update.version);
  const changed = update.changed.flatMap((it) => decodeRow(it.key, it.version, it.value) ?? []);
  return version === undefined ? undefined : { version, changed, removed: update.removed };
}

/** Decodes the ranges of a service, without those that hold no key. */
function decodeRanges(ranges: readonly KeyRange[]): RangeView[] {
  return ranges
    .filter((it) => isInOrder([it]))
    .map(({ first, last, owner, granted }) => ({
      first,
      last,
      owner: owner === '' ? undefined : owner,
      granted,
    }));
}

/** Returns an address that can be called, `undefined` for any other. */
export const decodeAddress = (address: string) => (isCallable(address) ? address : undefined);

/** Decodes a leader; `undefined` if it can't be called or its epoch can't be told apart. */
export function decodeLeader({
  router,
  address,
  epoch: wireEpoch,
}: LeaderSeat): LeaderAddress | undefined {
  const epoch = decodeCount(wireEpoch);
  return epoch === undefined || !isCallable(address) ? undefined : { router, address, epoch };
}

/** Encodes the state of a table in the answer to a report that arrived at a time. */
export function encodeTable(report: NamedTableReport, arrivedAt: number) {
  const { table, answers, version, confirmedAt } = report;
  const afterMs = Math.floor(Math.max(-MAX_CONFIRMED_AGO_MS, confirmedAt - arrivedAt));
  const isConfirmed = confirmedAt > -Infinity;
  return {
    table,
    answers,
    version: BigInt(version),
    ...(isConfirmed && { confirmedAfterMs: afterMs }),
  };
}

/**
 * Decodes the state of a table in the answer to a report that was sent at `sentAt`. What the other
 * router confirms relative to the arrival of the report, it confirms relative to an earlier time
 * here.
 */
export function decodeTable(state: TableState, sentAt: number): NamedTableReport | undefined {
  const { table, answers, confirmedAfterMs = -Infinity } = state;
  const version = decodeCount(state.version);
  if (version === undefined) return undefined;
  return { table, answers, version, confirmedAt: sentAt + confirmedAfterMs };
}

/** Decodes a note of a leader; throws if its numbers can't be told apart. */
export function decodeNote(req: NotePlacementRequest): PlacementNote {
  return { view: decodeView(req), isComplete: req.complete, after: requireCount(req.after) };
}

/** Decodes a view; throws if its numbers can't be told apart. */
export function decodeView({ epoch, change, services }: ViewMessage): PlacementView {
  return {
    epoch: requireCount(epoch),
    change: requireCount(change),
    services: new Map(services.map((it) => [it.service, decodeRanges(it.ranges)])),
  };
}

/** Encodes the services of a view. */
export function encodeServices(services: PlacementView['services']) {
  return [...services].map(([service, ranges]) => ({
    service,
    ranges: ranges.map((it) => ({ ...it, owner: it.owner ?? '' })),
  }));
}

/** Encodes the newest placement that this router knows, for another router. */
export function encodeKnownPlacement(placement: FetchedPlacement) {
  const { view, leader, isWitness, heardAgoMs } = placement;
  return {
    epoch: BigInt(view.epoch),
    change: BigInt(view.change),
    services: encodeServices(view.services),
    witness: isWitness,
    heardAgoMs: Math.min(MAX_HEARD_AGO_MS, Math.floor(heardAgoMs)),
    ...(leader && { leader: { address: leader.address, epoch: BigInt(leader.epoch) } }),
  };
}
