import type { ServerLimitSchema } from '@boragepoint/protocol';
import type { MessageInitShape } from '@bufbuild/protobuf';

import type { PlacementLogger } from './leader-context.js';
import type { LimitNotice, ServerLimits } from './server-limits.js';
import { createSyncPoints } from './sync-points.js';
import type { Clocks } from './suspension-guard.js';
import { decodeCount, encodeMs } from './wire-number.js';

/** A notice about a limit, and its age when it was sent. */
export interface AgedLimit extends Omit<LimitNotice, 'seenAt'> {
  readonly ageMs: number;
}

/** A notice as sent over the wire. */
export type LimitMessage = MessageInitShape<typeof ServerLimitSchema>;

/** Encodes a notice. */
export const encodeLimit = ({ server, startedMs, perS, ageMs }: AgedLimit): LimitMessage => ({
  server,
  startedMs: BigInt(startedMs),
  ageMs: encodeMs(ageMs),
  ...(perS !== undefined && { perS }),
});

/** Decodes a notice; `undefined` if its limit or its start is out of range. */
export function decodeLimit(message: {
  readonly server: string;
  readonly startedMs: bigint;
  readonly perS?: number;
  readonly ageMs: number;
}): AgedLimit | undefined {
  const { server, perS, ageMs } = message;
  const startedMs = decodeCount(message.startedMs);
  if (startedMs === undefined) return undefined;
  if (perS !== undefined && !(perS >= 0 && perS < Infinity)) return undefined;
  return { server, startedMs, perS, ageMs };
}

/** Notices with the number of the sender's last change that they include. */
export interface LimitUpdate {
  readonly limits: readonly AgedLimit[];
  readonly knownLimits: number;
}

/** What another router sent, and its process. */
export interface ReceivedLimits {
  readonly limits: readonly AgedLimit[];
  /** Start of the sending process, in milliseconds since the Unix epoch. */
  readonly startedMs: number;
}

/** Options of {@link createLimitExchange}. */
export interface LimitExchangeOptions {
  readonly limits: ServerLimits;
  readonly clocks: Clocks;
  readonly log: PlacementLogger;
  /** Called with the limits that changed because of other routers. */
  onLearned(changed: readonly LimitNotice[]): void;
}

/** Synchronizes the limits that a router knows with those of its leader. */
export interface LimitExchange {
  /** Returns what a report to the router at an address says. */
  reportFields(address: string): LimitUpdate;
  /** Whether the router at an address has not confirmed all limits that this one knows. */
  isAheadOf(address: string): boolean;
  /** Merges the answer to a report that included all changes up to `sharedUpTo`. */
  noteAnswer(address: string, sharedUpTo: number, answer: ReceivedLimits & LimitUpdate): void;
  /** Notes that the router at an address has received all changes up to `sharedUpTo`. */
  noteReceived(address: string, sharedUpTo: number, startedMs: number): void;
  /** Merges what another router sent. */
  receive(address: string, received: ReceivedLimits): void;
  /** Returns what the answer to a report says that knows this router's changes up to `known`. */
  replyFields(address: string, known: number): LimitUpdate;
}

/** Creates the exchange of one router. */
export function createLimitExchange(options: LimitExchangeOptions): LimitExchange {
  const { limits, clocks, log } = options;
  const points = createSyncPoints();

  const aged = (notices: readonly LimitNotice[]): AgedLimit[] =>
    notices.map(({ seenAt, ...notice }) => ({ ...notice, ageMs: clocks.monotonic() - seenAt }));

  function merge(address: string, received: readonly AgedLimit[]): void {
    const now = clocks.monotonic();
    const notices = received.map(({ ageMs, ...notice }) => ({ ...notice, seenAt: now - ageMs }));
    const changed = points.mergeFrom(
      address,
      () => limits.change(),
      () => limits.merge(notices),
    );
    for (const { server, perS, seenAt } of changed) {
      const ageMs = Math.round(now - seenAt);
      log.info('server limit learned', { server, perS, from: address, ageMs });
    }
    if (changed.length > 0) options.onLearned(changed);
  }

  return {
    reportFields: (address) => ({
      limits: aged(limits.since(points.sentTo(address))),
      knownLimits: points.receivedFrom(address),
    }),
    isAheadOf: (address) => limits.since(points.sentTo(address)).length > 0,
    noteAnswer(address, sharedUpTo, answer) {
      const { startedMs, knownLimits } = answer;
      points.noteAnswer(address, { startedMs, sentUpTo: sharedUpTo, receivedUpTo: knownLimits });
      merge(address, answer.limits);
    },
    noteReceived(address, sharedUpTo, startedMs) {
      if (!points.noteProcess(address, startedMs)) return;
      points.noteSent(address, Math.max(points.sentTo(address), sharedUpTo));
    },
    receive(address, { limits: received, startedMs }) {
      points.noteProcess(address, startedMs);
      merge(address, received);
    },
    replyFields(address, known) {
      const change = limits.change();
      // A number beyond the last change comes from a former process at this router's own address.
      const since = known <= change ? known : 0;
      points.noteSent(address, change);
      return { limits: aged(limits.since(since)), knownLimits: change };
    },
  };
}
