import {
  type AgedRun,
  type RequestIdentity,
  type RunState,
  type SuspectRun,
  joinRuns,
} from './suspect-run.js';
import { type NumberedChange, createChangeLog } from './change-log.js';
import { createChangeSignal } from './change-signal.js';

/** How long a run is remembered in a state, in milliseconds. */
const RETENTION_MS: Readonly<Record<RunState, number>> = {
  // Its router may have died with it.
  running: 30_000,
  lost: 60_000,
  ended: 600_000,
  // Long enough that every router hears of it.
  cleared: 15_000,
};
/** Most runs that are remembered; those that prove least go first. */
const MAX_RUNS = 2_000;
/** Runs that make way at once when there are too many, so that not every new one has to look for room. */
const EVICTION_BATCH = MAX_RUNS / 8;
/** Time between two looks for runs to forget, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 1_000;

/** How often equal requests were lost. */
export interface CrashCounts {
  /** Lives of backend servers that equal requests ended, or may yet have ended. */
  readonly lives: number;
  /** Those of them that are known to have ended. */
  readonly ended: number;
}

const NO_CRASHES: CrashCounts = { lives: 0, ended: 0 };

/** Suspect runs that this router saw, or that others told of. */
export interface SuspectRecord {
  isEmpty(): boolean;
  /** Takes a run of this router's own in, or a new state of it; others are told after `announce`. */
  put(run: SuspectRun): void;
  /** Takes in what another router tells; returns how much of it was news. */
  merge(runs: readonly AgedRun[]): number;
  /** Numbers all changes so far, so that they are told, and wakes those who wait. */
  announce(): void;
  /** Number of the last change that was announced or merged. */
  change(): number;
  /** Runs that changed after a change. */
  since(change: number): AgedRun[];
  /** Waits for a change after one, for at most `waitMs`. */
  waitForChange(known: number, waitMs: number): Promise<void>;
  crashCountsOf(identity: RequestIdentity): CrashCounts;
  /** The first, by name, of the other requests that run as suspects at a life of a server. */
  otherRunningAt(
    incarnation: Pick<SuspectRun, 'server' | 'startedMs'>,
    self: RequestIdentity,
  ): string | undefined;
  /** An equal request was answered: it does not end servers. */
  noteAnswered(identity: RequestIdentity): void;
  /** Runs whose server's fate is not known. */
  lost(): AgedRun[];
  /** Number of lives of backend servers that runs ended, or may have ended. */
  suspectIncarnations(): number;
}

interface Entry {
  readonly run: SuspectRun;
  /** When it got into its state. */
  readonly at: number;
  /** Number of its last change; 0 before others may be told. */
  readonly change: number;
}

/** Names a request of one caller. */
export function requestKey({ request, caller }: RequestIdentity): string {
  return `${request}/${caller}`;
}

const incarnationKey = ({ server, startedMs }: Pick<SuspectRun, 'server' | 'startedMs'>) =>
  `${server}@${startedMs}`;

function countIncarnations(runs: readonly SuspectRun[]): number {
  return new Set(runs.map(incarnationKey)).size;
}

/** Creates an empty record; `now` is in milliseconds of a monotonic clock. */
export function createSuspectRecord(now: () => number): SuspectRecord {
  const entries = new Map<string, Entry>();
  /** Names of the runs of equal requests. */
  const byRequest = new Map<string, Set<string>>();
  const changes = createChangeLog();
  /** Names of the runs whose server's fate is not known. */
  const lostRunIds = new Set<string>();
  let expiryCheckedAt = -Infinity;
  const changeSignal = createChangeSignal();
  let change = 0;

  function remove({ run, request }: SuspectRun): void {
    entries.delete(run);
    lostRunIds.delete(run);
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

  /** Keeps the number of runs in bounds: those that are cleared go first, those that ended a server last. */
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
    // Put in anew, so that the oldest change stands first.
    remove(run);
    entries.set(run.run, { run, at, change: number });
    if (number > 0) changes.add(number, run.run);
    if (run.state === 'lost') lostRunIds.add(run.run);
    const equal = byRequest.get(run.request) ?? new Set();
    byRequest.set(run.request, equal.add(run.run));
  }

  /** Changes a run that is known; what nobody was told of needs no trace once it is cleared. */
  function update(entry: Entry, next: SuspectRun): void {
    if (next.state === 'cleared' && entry.change === 0) {
      remove(next);
      return;
    }
    const at = next.state === entry.run.state ? entry.at : now();
    set(next, at, entry.change === 0 ? 0 : ++change);
  }

  function countedRuns(identity: RequestIdentity): readonly SuspectRun[] {
    const equal = equalTo(identity.request)
      .map((it) => it.run)
      .filter((it) => it.state !== 'cleared');
    const own = equal.filter((it) => it.caller === identity.caller);
    const shared = equal.filter((it) => !it.othersServed);
    // Lost under several callers' requests: it depends on the request and not on who sends it.
    const isShared = new Set(shared.map((it) => it.caller)).size > 1;
    return isShared && countIncarnations(shared) > countIncarnations(own) ? shared : own;
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
    since(known) {
      removeExpired();
      const isLatest = ({ number, run }: NumberedChange) => entries.get(run)?.change === number;
      changes.compact(isLatest, 2 * entries.size + EVICTION_BATCH);
      return changes
        .after(known)
        .filter(isLatest)
        .flatMap(({ run }) => entries.get(run) ?? [])
        .map(({ run, at }) => ({ ...run, ageMs: now() - at }));
    },
    async waitForChange(known, waitMs) {
      if (change <= known) await changeSignal.wait(waitMs);
    },
    crashCountsOf(identity) {
      if (entries.size === 0) return NO_CRASHES;
      removeExpired();
      const runs = countedRuns(identity);
      return {
        lives: countIncarnations(runs),
        ended: countIncarnations(runs.filter((it) => it.state === 'ended')),
      };
    },
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
    lost() {
      return [...lostRunIds]
        .flatMap((it) => entries.get(it) ?? [])
        .map(({ run, at }) => ({ ...run, ageMs: now() - at }));
    },
    suspectIncarnations() {
      removeExpired();
      const runs = [...entries.values()].map((it) => it.run);
      return countIncarnations(runs.filter((it) => it.state === 'lost' || it.state === 'ended'));
    },
  };
}
