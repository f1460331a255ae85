import { setImmediate as nextEventLoopTurn, setTimeout as sleep } from 'node:timers/promises';

import type { ReportRequest } from '@boragepoint/protocol';

import { createChangeSignal } from './change-signal.js';
import type { PlacementLogger } from './leader-context.js';
import type { PlacementPeers } from './placement-peers.js';
import type { ReportAnswer } from './report-messages.js';
import type { SuspectRecord } from './suspect-record.js';
import { type SuspectUpdate, type AgedRun, decodeRun, encodeRun, isLoss } from './suspect-run.js';
import { createSyncPoints } from './sync-points.js';
import type { Clocks } from './suspension-guard.js';

/** Timeout of one call to another router, in milliseconds. */
const SHARE_TIMEOUT_MS = 500;
/**
 * Longest time for which the leader waits until all reporting routers have received a change, in
 * milliseconds.
 */
const SHARE_ALL_TIMEOUT_MS = 300;
/** Calls a second to routers without a waiting report, while runs are observed all the time. */
const CALLS_PER_S = 500;
const MS_PER_S = 1_000;
/** Number of routers to which runs are passed on that others have observed, without a leader. */
const PASS_ON_FANOUT = 3;
/**
 * Number of the oldest runs that a router lacks in one message to it, and of the newest losses. A new
 * leader lacks what all routers know of each other: whole records would fill its link, and be sent
 * again and again as none of the messages arrived in time.
 */
const MAX_RUNS_PER_MESSAGE = 24;
/** Maximum number of suspect runs stored in the leader's row; the newest are kept. */
const MAX_STORED_RUNS = 64;

/** Options of {@link createSuspectExchange}. */
export interface SuspectExchangeOptions {
  /** Address of this router for other routers. */
  readonly address: string;
  readonly record: SuspectRecord;
  readonly peers: Pick<PlacementPeers, 'shareSuspects'>;
  readonly clocks: Clocks;
  readonly log: PlacementLogger;
  /** Addresses of the routers that report to this one; `undefined` while it does not lead. */
  reporters(): readonly string[] | undefined;
  /** Address of the leader that this router follows, which shares runs with all others. */
  leader(): string | undefined;
  /** Addresses of other routers, used while there is no leader. */
  others(): readonly string[];
  /** Called when the record changed, so that a leader writes its row. */
  onChange(): void;
  /** Uniform in [0, 1). */
  readonly random?: () => number;
}

/** Synchronizes a router's record of suspect runs with those of other routers. */
export interface SuspectExchange {
  /**
   * Returns the suspect fields of a report to the router at an address; the report includes all
   * changes up to `sharedUpTo`.
   */
  reportFields(address: string): Pick<ReportAnswer, 'knownSuspects'> & {
    readonly suspects: readonly AgedRun[];
    readonly sharedUpTo: number;
  };
  /** Merges the answer to a report that included all changes up to `sharedUpTo`. */
  noteAnswer(address: string, sharedUpTo: number, answer: ReportAnswer): void;
  /** Merges a report; returns the last change of this record that the reporting router knows. */
  receiveReport(req: ReportRequest): number;
  /**
   * Returns the suspect fields of the answer to a report; assumes that the reporting router
   * receives it. A router that is starting gets all runs at once, since it serves from then on.
   */
  replyFields(address: string, knownUpTo: number, isStarting?: boolean): ReplyFields;
  /**
   * Merges runs that another router shared outside of a report; returns the number of runs that
   * changed.
   */
  receive(update: SuspectUpdate): number;
  /** Merges the runs of the stored placement. */
  mergeStored(runs: readonly AgedRun[]): void;
  /**
   * Shares new runs with the other routers; resolves once they received them, or after a bounded
   * wait. The leader answers waiting reports; it calls the routers without a waiting report only if
   * they lack runs that ended their servers, or may have.
   */
  share(): Promise<void>;
  /**
   * Passes runs on that another router has shared: to all routers if this one leads, to the leader,
   * or to a few others while there is none, since these pass them on, too.
   */
  passOn(): Promise<void>;
  /** Returns the runs to store in the leader's row. */
  runsToStore(): AgedRun[];
}

interface ReplyFields {
  readonly suspects: ReturnType<typeof encodeRun>[];
  readonly knownSuspects: bigint;
}

/** Creates the exchange of one router. */
export function createSuspectExchange(options: SuspectExchangeOptions): SuspectExchange {
  const { record, peers, clocks, random = Math.random } = options;
  const points = createSyncPoints();
  const deliverySignal = createChangeSignal();
  /** Whether a round of calls to the reporting routers is about to begin. */
  let isRoundDue = false;
  /** When the next round may begin, on the monotonic clock. */
  let nextRoundAt = -Infinity;
  /** Calls in flight, at most one per router, by address. */
  const pendingShares = new Map<string, Promise<boolean>>();

  function mergeRuns(runs: readonly AgedRun[], from: string): number {
    const changedRuns = record.merge(runs);
    if (changedRuns > 0) {
      options.log.info('suspect runs learned', { from, count: changedRuns });
      options.onChange();
    }
    return changedRuns;
  }

  const mergeFrom = (address: string, runs: readonly AgedRun[]): number =>
    points.mergeFrom(
      address,
      () => record.change(),
      () => mergeRuns(runs, address),
    );

  /** Returns whether the router at an address lacks a run that ended its server, or may have. */
  function isMissingLosses(address: string): boolean {
    return record.hasLossSince(points.sentTo(address));
  }

  /**
   * Calls the reporting routers that lack a loss, unless calls are about to begin already. The pause
   * after such a round leaves a leader of hundreds of routers time for its other work.
   */
  async function callReporters(): Promise<void> {
    if (isRoundDue) return;
    isRoundDue = true;
    const pauseMs = nextRoundAt - clocks.monotonic();
    if (pauseMs > 0) await sleep(pauseMs);
    isRoundDue = false;
    const reporters = options.reporters() ?? [];
    nextRoundAt = clocks.monotonic() + (reporters.length * MS_PER_S) / CALLS_PER_S;
    for (const address of reporters) if (isMissingLosses(address)) void shareWith(address);
  }

  /**
   * Waits until all reporting routers have received a change, for at most `SHARE_ALL_TIMEOUT_MS`.
   */
  async function shareWithAll(reporters: readonly string[], change: number): Promise<void> {
    const until = clocks.monotonic() + SHARE_ALL_TIMEOUT_MS;
    const haveAllReceived = () => reporters.every((it) => points.sentTo(it) >= change);
    // Waiting reports are answered before the next turn of the event loop; the remaining routers
    // are between two reports.
    await nextEventLoopTurn();
    void callReporters();
    while (!haveAllReceived() && clocks.monotonic() < until) {
      await deliverySignal.wait(until - clocks.monotonic());
    }
  }

  async function sendMissing(address: string): Promise<boolean> {
    const { runs, upTo } = record.batchSince(points.sentTo(address), MAX_RUNS_PER_MESSAGE);
    if (runs.length === 0) return true;
    const update = { runs, from: options.address };
    const startedMs = await peers.shareSuspects(address, update, SHARE_TIMEOUT_MS);
    if (startedMs === undefined) return false;
    // A new process lacks what the former one was sent.
    if (!points.noteProcess(address, startedMs)) return sendMissing(address);
    points.noteSent(address, Math.max(points.sentTo(address), upTo));
    deliverySignal.wakeAll();
    return true;
  }

  /**
   * Sends a router the runs that it lacks; runs that are added during a call go with the next one.
   */
  async function shareWith(address: string): Promise<boolean> {
    await pendingShares.get(address);
    const next =
      pendingShares.get(address) ??
      sendMissing(address).finally(() => pendingShares.delete(address));
    pendingShares.set(address, next);
    return next;
  }

  /** Shares new runs over the leader, or else with the routers that `choose` picks among those known. */
  async function shareOver(
    choose: (others: readonly string[]) => readonly string[],
  ): Promise<void> {
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
    await Promise.all(choose(others).map(shareWith));
  }

  function pickFew(others: readonly string[]): readonly string[] {
    const start = Math.floor(random() * others.length);
    return [...others.slice(start), ...others.slice(0, start)].slice(0, PASS_ON_FANOUT);
  }

  return {
    reportFields(address) {
      const { runs, upTo } = record.batchSince(points.sentTo(address), MAX_RUNS_PER_MESSAGE);
      return { suspects: runs, sharedUpTo: upTo, knownSuspects: points.receivedFrom(address) };
    },
    noteAnswer(address, sharedUpTo, answer) {
      const { startedMs, knownSuspects } = answer;
      points.noteAnswer(address, { startedMs, sentUpTo: sharedUpTo, receivedUpTo: knownSuspects });
      mergeFrom(address, answer.suspects);
    },
    receiveReport(req) {
      points.noteProcess(req.address, Number(req.startedMs));
      const known = Number(req.knownSuspects);
      // A number beyond the last change comes from a former process at this router's own address.
      points.noteSent(req.address, known <= record.change() ? known : 0);
      mergeFrom(
        req.address,
        req.suspects.flatMap((it) => decodeRun(it) ?? []),
      );
      return points.sentTo(req.address);
    },
    replyFields(address, knownUpTo, isStarting = false) {
      const max = isStarting ? Infinity : MAX_RUNS_PER_MESSAGE;
      const { runs, upTo } = record.batchSince(knownUpTo, max);
      points.noteSent(address, upTo);
      deliverySignal.wakeAll();
      return { suspects: runs.map(encodeRun), knownSuspects: BigInt(upTo) };
    },
    receive: ({ runs, from }) => mergeFrom(from, runs),
    mergeStored(runs) {
      mergeRuns(runs, 'the stored placement');
    },
    share: () => shareOver((others) => others),
    passOn: () => shareOver(pickFew),
    runsToStore() {
      return record.since(0).filter(isLoss).slice(-MAX_STORED_RUNS);
    },
  };
}
