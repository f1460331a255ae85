import { setImmediate as nextEventLoopTurn } from 'node:timers/promises';

import type { ReportRequest } from '@boragepoint/protocol';

import type { PlacementLogger } from './leader-context.js';
import type { PlacementPeers, ReportAnswer, SuspectUpdate } from './placement-peers.js';
import type { SuspectRecord } from './suspect-record.js';
import { type AgedRun, decodeRun, encodeRun } from './suspect-run.js';
import type { Clocks } from './suspension-guard.js';
import { createChangeSignal } from './change-signal.js';

/** Longest time for another router's answer, in milliseconds. */
const SHARE_TIMEOUT_MS = 500;
/** Longest time until the routers that report have been told of a change, in milliseconds. */
const SHARE_ALL_TIMEOUT_MS = 300;
/** Suspect runs that the leader's row keeps; the newest ones. */
const MAX_STORED_RUNS = 64;

/** What the exchange of suspect runs needs. */
export interface SuspectExchangeOptions {
  /** Where this router answers others. */
  readonly address: string;
  readonly record: SuspectRecord;
  readonly peers: Pick<PlacementPeers, 'shareSuspects'>;
  readonly clocks: Clocks;
  readonly log: PlacementLogger;
  /** Where routers answer that report to this one while it leads; `undefined` while it does not. */
  reporters(): readonly string[] | undefined;
  /** The leader that this router follows; it tells all others. */
  leader(): string | undefined;
  /** Other routers, for when there is no leader. */
  others(): readonly string[];
  /** The record changed: a leader has its row written. */
  onChange(): void;
}

/** Keeps a router's record of suspect runs the same as that of other routers. */
export interface SuspectExchange {
  /** What a report to the router at an address says. */
  reportFields(
    address: string,
  ): Pick<ReportAnswer, 'knownSuspects'> & { suspects: readonly AgedRun[] };
  /** The router at an address has answered a report that told it all changes up to one. */
  noteAnswer(address: string, sharedUpTo: number, answer: ReportAnswer): void;
  /** Takes in a report; returns up to which change the reporting router knows this record. */
  receiveReport(req: ReportRequest): number;
  /** What the answer to a report says, as it goes over the wire; the reporting router counts as told. */
  replyFields(address: string, knownUpTo: number): Pick<ReplyFields, 'suspects' | 'knownSuspects'>;
  /** Takes in what another router tells without a report; returns how much of it was news. */
  receive(update: SuspectUpdate): number;
  /** Takes in what the stored placement says. */
  mergeStored(runs: readonly AgedRun[]): void;
  /**
   * Tells the other routers; resolves once they have been told, or after a bounded wait. The leader answers the
   * reports that wait, and calls the routers that do not report just now if servers were lost.
   */
  share(): Promise<void>;
  /** What the leader's row keeps. */
  runsToStore(): AgedRun[];
}

interface ReplyFields {
  readonly suspects: ReturnType<typeof encodeRun>[];
  readonly knownSuspects: bigint;
}

/** Creates the exchange of one router. */
export function createSuspectExchange(options: SuspectExchangeOptions): SuspectExchange {
  const { record, peers, clocks } = options;
  /** Up to which change of this record the router at an address knows it. */
  const sentUpTo = new Map<string, number>();
  /** Up to which change of its record this router knows that of the router at an address. */
  const receivedUpTo = new Map<string, number>();
  /** Start of the process at an address. */
  const incarnations = new Map<string, number>();
  const deliverySignal = createChangeSignal();
  /** Calls on their way, one for each router. */
  const pendingShares = new Map<string, Promise<boolean>>();

  const lastSentTo = (address: string) => sentUpTo.get(address) ?? 0;

  /** Notes which process speaks for an address; false if it is not the one that was told what went before. */
  function noteIncarnation(address: string, startedMs: number): boolean {
    const before = incarnations.get(address);
    incarnations.set(address, startedMs);
    if (before === undefined || before === startedMs) return true;
    sentUpTo.delete(address);
    receivedUpTo.delete(address);
    return false;
  }

  function mergeRuns(runs: readonly AgedRun[], from: string): number {
    const news = record.merge(runs);
    if (news > 0) {
      options.log.info('suspect runs learned', { from, count: news });
      options.onChange();
    }
    return news;
  }

  /** Takes in what the router at an address tells; it need not be told that in turn. */
  function mergeFrom(address: string, runs: readonly AgedRun[]): number {
    const before = record.change();
    const changedRuns = mergeRuns(runs, address);
    if (lastSentTo(address) >= before) sentUpTo.set(address, record.change());
    return changedRuns;
  }

  /** The router at an address does not know of a run that ended its server, or may have. */
  function isMissingLosses(address: string): boolean {
    return record
      .since(lastSentTo(address))
      .some((it) => it.state === 'lost' || it.state === 'ended');
  }

  /** Waits until all routers that report have been told of a change, for a bounded time. */
  async function shareWithAll(reporters: readonly string[], change: number): Promise<void> {
    const until = clocks.monotonic() + SHARE_ALL_TIMEOUT_MS;
    const haveAllReceived = () => reporters.every((it) => lastSentTo(it) >= change);
    // Reports that wait are answered within this turn; the other routers stand between two reports.
    await nextEventLoopTurn();
    for (const address of reporters) if (isMissingLosses(address)) void shareWith(address);
    while (!haveAllReceived() && clocks.monotonic() < until) {
      await deliverySignal.wait(until - clocks.monotonic());
    }
  }

  async function sendMissing(address: string): Promise<boolean> {
    const change = record.change();
    const runs = record.since(lastSentTo(address));
    if (runs.length === 0) return true;
    const update = { runs, from: options.address };
    const startedMs = await peers.shareSuspects(address, update, SHARE_TIMEOUT_MS);
    if (startedMs === undefined) return false;
    // Another process has to be told everything.
    if (!noteIncarnation(address, startedMs)) return sendMissing(address);
    sentUpTo.set(address, Math.max(lastSentTo(address), change));
    deliverySignal.wakeAll();
    return true;
  }

  /** Tells a router what it does not know; what comes up meanwhile goes with the next call. */
  async function shareWith(address: string): Promise<boolean> {
    await pendingShares.get(address);
    const next =
      pendingShares.get(address) ??
      sendMissing(address).finally(() => pendingShares.delete(address));
    pendingShares.set(address, next);
    return next;
  }

  return {
    reportFields: (address) => ({
      suspects: record.since(lastSentTo(address)),
      knownSuspects: receivedUpTo.get(address) ?? 0,
    }),
    noteAnswer(address, sharedUpTo, answer) {
      if (noteIncarnation(address, answer.startedMs)) {
        sentUpTo.set(address, sharedUpTo);
        receivedUpTo.set(address, answer.knownSuspects);
      }
      mergeFrom(address, answer.suspects);
    },
    receiveReport(req) {
      noteIncarnation(req.address, Number(req.startedMs));
      const known = Number(req.knownSuspects);
      // A number beyond the last one was learned from a former process at this address.
      sentUpTo.set(req.address, known <= record.change() ? known : 0);
      mergeFrom(
        req.address,
        req.suspects.flatMap((it) => decodeRun(it) ?? []),
      );
      return lastSentTo(req.address);
    },
    replyFields(address, knownUpTo) {
      const change = record.change();
      sentUpTo.set(address, change);
      deliverySignal.wakeAll();
      return { suspects: record.since(knownUpTo).map(encodeRun), knownSuspects: BigInt(change) };
    },
    receive: ({ runs, from }) => mergeFrom(from, runs),
    mergeStored(runs) {
      mergeRuns(runs, 'the stored placement');
    },
    async share() {
      record.announce();
      options.onChange();
      const reporters = options.reporters();
      if (reporters) {
        await shareWithAll(reporters, record.change());
        return;
      }
      const leader = options.leader();
      if (leader !== undefined && (await shareWith(leader))) return;
      const others = options.others().filter((it) => it !== leader);
      await Promise.all(others.map(shareWith));
    },
    runsToStore() {
      const open = record.since(0).filter((it) => it.state === 'lost' || it.state === 'ended');
      return open.slice(-MAX_STORED_RUNS);
    },
  };
}
