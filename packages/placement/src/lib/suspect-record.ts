import { type NumberedChange, createChangeLog } from './change-log.js';
import { createChangeSignal } from './change-signal.js';
import {
  type AgedRun,
  type RequestIdentity,
  type RunState,
  type SuspectRun,
  isLoss,
  joinRuns,
} from './suspect-run.js';

/** Time for which a run is kept in each state, in milliseconds. */
const RETENTION_MS: Readonly<Record<RunState, number>> = {
  // The router that sent the request may have crashed, and then never reports an outcome.
  running: 30_000,
  lost: 60_000,
  ended: 600_000,
  // Long enough for every router to receive it.
  cleared: 15_000,
};
/** Maximum number of runs kept; runs that are the weakest evidence of a crash are evicted first. */
const MAX_RUNS = 2_000;
/** Number of runs evicted at once, so that a full record is not searched for each new run. */
const EVICTION_BATCH = MAX_RUNS / 8;
/** Time between two checks for expired runs, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 1_000;

/**
 * How many server incarnations equal requests crashed. The router logs the fields under these
 * names.
 */
export interface CrashCounts {
  /** Incarnations that equal requests ended, may have ended, or may still end while in flight. */
  readonly lives: number;
  /** Of these, the incarnations known to have ended. */
  readonly ended: number;
}

const NO_CRASHES: CrashCounts = { lives: 0, ended: 0 };

/** Suspect runs observed by this router or reported by other routers. */
export interface SuspectRecord {
  isEmpty(): boolean;
  /**
   * Records a run of this router, or a new state of it. A new run is shared only after `announce`.
   */
  put(run: SuspectRun): void;
  /** Merges runs that another router shared; returns the number of runs that changed. */
  merge(runs: readonly AgedRun[]): number;
  /**
   * Numbers all runs that were not shared yet, so that `since` returns them, and wakes waiting
   * tasks.
   */
  announce(): void;
  /** Number of the last change that was announced or merged. */
  change(): number;
  /** Runs that changed after the change with a number. */
  since(change: number): AgedRun[];
  /** The oldest of these runs, at most `max`, and the newest losses among the others, at most `max`. */
  batchSince(change: number, max: number): RunBatch;
  /**
   * Waits until a change after `known` is announced or merged, for at most `waitMs` milliseconds.
   */
  waitForChange(known: number, waitMs: number): Promise<void>;
  crashCountsOf(identity: RequestIdentity): CrashCounts;
  /** Returns whether an equal request is known to have ended an incarnation. */
  hasEnded(
    incarnation: Pick<SuspectRun, 'server' | 'startedMs'>,
    identity: RequestIdentity,
  ): boolean;
  /**
   * Returns the key of another request that runs as a suspect at an incarnation; the lowest key if
   * there are several.
   */
  otherRunningAt(
    incarnation: Pick<SuspectRun, 'server' | 'startedMs'>,
    self: RequestIdentity,
  ): string | undefined;
  /** Records that an equal request was answered, which shows that it does not crash servers. */
  noteAnswered(identity: RequestIdentity): void;
  /** Returns whether a run that changed after the change with a number is a loss. */
  hasLossSince(change: number): boolean;
  /** Runs in the states `lost` and `ended`, after which the server may have ended. */
  losses(): readonly TimedRun[];
  /** Number of incarnations that runs ended, or may have ended. */
  countSuspectIncarnations(): number;
}

/** Some of the runs that changed after a change. */
export interface RunBatch {
  readonly runs: readonly AgedRun[];
  /** Change up to which the batch includes all. */
  readonly upTo: number;
}

/** A run, and when it entered its state. */
export interface TimedRun {
  readonly run: SuspectRun;
  /** In milliseconds on the clock of the record. */
  readonly at: number;
}

interface Entry extends TimedRun {
  /** Number of the run's last change; 0 until it is announced. */
  readonly change: number;
}

/** Returns a string that identifies a request of one caller. */
export function requestKey({ request, caller }: RequestIdentity): string {
  return `${request}/${caller}`;
}

const incarnationKey = ({ server, startedMs }: Pick<SuspectRun, 'server' | 'startedMs'>) =>
  `${server}@${startedMs}`;

function countIncarnations(runs: readonly SuspectRun[]): number {
  return new Set(runs.map(incarnationKey)).size;
}

/** Creates an empty record; `now` returns milliseconds of a monotonic clock. */
export function createSuspectRecord(now: () => number): SuspectRecord {
  const entries = new Map<string, Entry>();
  /** Ids of runs, by the fingerprint of their request. */
  const byRequest = new Map<string, Set<string>>();
  const changes = createChangeLog();
  /** Ids of the runs in the states `lost` and `ended`. */
  const lossIds = new Set<string>();
  let expiryCheckedAt = -Infinity;
  const changeSignal = createChangeSignal();
  let change = 0;

  function remove({ run, request }: SuspectRun): void {
    entries.delete(run);
    lossIds.delete(run);
    const equal = byRequest.get(request);
    equal?.delete(run);
    if (equal?.size === 0) byRequest.delete(request);
  }

  function removeExpired(): void {
    if (now() < expiryCheckedAt + EXPIRY_CHECK_INTERVAL_MS) return;
    expiryCheckedAt = now();
    for (const { run, at } of [...entries.values()]) {
      if (at < now() - RETENTION_MS[run.state]) remove(run);
    }
  }

  function equalTo(request: string): Entry[] {
    return [...(byRequest.get(request) ?? [])].flatMap((it) => entries.get(it) ?? []);
  }

  /** Evicts runs if the record is full: cleared ones first, those that ended a server last. */
  function evictIfFull(): void {
    if (entries.size < MAX_RUNS) return;
    removeExpired();
    for (const state of ['cleared', 'running', 'lost', 'ended'] as const) {
      for (const { run } of [...entries.values()]) {
        if (entries.size <= MAX_RUNS - EVICTION_BATCH) return;
        if (run.state === state) remove(run);
      }
    }
  }

  function set(run: SuspectRun, at: number, number: number): void {
    evictIfFull();
    // The entry is inserted again, so that the map iterates from the oldest change to the newest.
    remove(run);
    entries.set(run.run, { run, at, change: number });
    if (number > 0) changes.add(number, run.run);
    if (isLoss(run)) lossIds.add(run.run);
    const equal = byRequest.get(run.request) ?? new Set();
    byRequest.set(run.request, equal.add(run.run));
  }

  /** Changes a known run. A run that was never shared is removed once it is cleared. */
  function update(entry: Entry, next: SuspectRun): void {
    if (next.state === 'cleared' && entry.change === 0) {
      remove(next);
      return;
    }
    const at = next.state === entry.run.state ? entry.at : now();
    set(next, at, entry.change === 0 ? 0 : ++change);
  }

  /**
   * Returns the runs that count against a request: those of equal requests of its caller. If equal
   * requests of several callers were lost, their runs count instead if they are at more
   * incarnations, except runs after which an equal request of another caller was answered.
   */
  function countedRuns(identity: RequestIdentity): readonly SuspectRun[] {
    const equalRuns = equalTo(identity.request)
      .map((it) => it.run)
      .filter((it) => it.state !== 'cleared');
    const own = equalRuns.filter((it) => it.caller === identity.caller);
    const ofAnyCaller = equalRuns.filter((it) => !it.othersServed);
    // Requests of several callers were lost, so the cause is the request and not its caller.
    const hasSeveralCallers = new Set(ofAnyCaller.map((it) => it.caller)).size > 1;
    return hasSeveralCallers && countIncarnations(ofAnyCaller) > countIncarnations(own)
      ? ofAnyCaller
      : own;
  }

  const agedRun = ({ run, at }: Entry): AgedRun => ({ ...run, ageMs: now() - at });

  /** Entries that changed after a change, in the order of their changes. */
  function changedSince(known: number): Entry[] {
    removeExpired();
    const isLatest = ({ number, run }: NumberedChange) => entries.get(run)?.change === number;
    changes.compact(isLatest, 2 * entries.size + EVICTION_BATCH);
    return changes
      .after(known)
      .filter(isLatest)
      .flatMap(({ run }) => entries.get(run) ?? []);
  }

  return {
    isEmpty: () => entries.size === 0,
    put(run) {
      const known = entries.get(run.run);
      if (!known) {
        if (run.state !== 'cleared') set(run, now(), 0);
        return;
      }
      const next = joinRuns(known.run, run);
      if (next !== known.run) update(known, next);
    },
    merge(runs) {
      let changedRuns = 0;
      for (const { ageMs, ...run } of runs) {
        const known = entries.get(run.run);
        const next = known ? joinRuns(known.run, run) : run;
        if (next === known?.run) continue;
        changedRuns += 1;
        set(next, now() - ageMs, ++change);
      }
      if (changedRuns > 0) changeSignal.wakeAll();
      return changedRuns;
    },
    announce() {
      for (const { run, at, change: number } of [...entries.values()]) {
        if (number === 0) set(run, at, ++change);
      }
      changeSignal.wakeAll();
    },
    change: () => change,
    since: (known) => changedSince(known).map(agedRun),
    batchSince(known, max) {
      const changed = changedSince(known);
      const oldest = changed.slice(0, max);
      const others = changed.slice(max);
      const newestLosses = others.filter((it) => isLoss(it.run)).slice(-max);
      const upTo = others.length > 0 ? (oldest.at(-1)?.change ?? known) : change;
      return { runs: [...oldest, ...newestLosses].map(agedRun), upTo };
    },
    async waitForChange(known, waitMs) {
      if (change <= known) await changeSignal.wait(waitMs);
    },
    crashCountsOf(identity) {
      if (entries.size === 0) return NO_CRASHES;
      removeExpired();
      const runs = countedRuns(identity);
      // Runs that are watched but were not lost must not keep up the suspicion that they are watched for.
      if (runs.every((it) => it.state === 'running')) return NO_CRASHES;
      return {
        lives: countIncarnations(runs),
        ended: countIncarnations(runs.filter((it) => it.state === 'ended')),
      };
    },
    hasEnded: (incarnation, identity) =>
      countedRuns(identity).some(
        (it) => it.state === 'ended' && incarnationKey(it) === incarnationKey(incarnation),
      ),
    otherRunningAt(incarnation, self) {
      const names = [...entries.values()]
        .map((it) => it.run)
        .filter(
          (it) => it.state === 'running' && incarnationKey(it) === incarnationKey(incarnation),
        )
        .map(requestKey)
        .filter((it) => it !== requestKey(self));
      return names.sort()[0];
    },
    noteAnswered({ request, caller }) {
      for (const entry of equalTo(request)) {
        const { run } = entry;
        if (run.state === 'running' || run.state === 'cleared') continue;
        if (run.caller === caller) update(entry, { ...run, state: 'cleared' });
        else if (!run.othersServed) update(entry, { ...run, othersServed: true });
      }
    },
    hasLossSince: (known) => changedSince(known).some((it) => isLoss(it.run)),
    losses: () => [...lossIds].flatMap((it) => entries.get(it) ?? []),
    countSuspectIncarnations() {
      removeExpired();
      const runs = [...entries.values()].map((it) => it.run);
      return countIncarnations(runs.filter(isLoss));
    },
  };
}
