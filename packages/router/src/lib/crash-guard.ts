import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  type KnownServer,
  type RequestIdentity,
  type RunState,
  type ServerDirectory,
  type CrashCounts,
  type SuspectRecord,
  type SuspectRun,
  type TimedRun,
  requestKey,
} from '@boragepoint/placement';

import type { CallerRequest } from './caller-request.js';
import { identityOf } from './request-identity.js';
import { HTTP_SERVER_ERROR, MAX_CRASHES } from './request-outcome.js';
import type { RouterLog } from './router-log.js';
import type { SendOutcome } from './send-request.js';
import type { PooledServer } from './server-pool.js';
import type { ServerProbe } from './server-probe.js';

/**
 * Least time of a restart, in milliseconds: restarts take seconds, so a process that listens sooner
 * than this after it lost a run never ended.
 */
const MIN_RESTART_MS = 500;
/** Longest delay until a server's own change is seen in the registry, in milliseconds. */
const MAX_REGISTRY_DELAY_MS = 4_000;
/** Heartbeats within which the entry of a server that has ended is removed. */
const ENTRY_LIFETIME_HEARTBEATS = 4;
/** Interval between two looks at what the registry says of lost runs, in milliseconds. */
const SETTLE_INTERVAL_MS = 250;
/** Longest time that a request waits for the probe of the server that lost it, in milliseconds. */
const PROBE_WAIT_MS = 250;
/** Interval between checks whether a suspect request may be sent, in milliseconds. */
const SUSPECT_POLL_INTERVAL_MS = 50;
/**
 * Delay from the cancellation of an unanswered request to the probe of its server, in milliseconds.
 */
const UNANSWERED_PROBE_DELAY_MS = 100;
const RUN_ID_BYTES = 9;

/**
 * One run of a request at a server. It is lost if it ended without a valid and framed answer; its
 * server may have crashed then.
 */
export interface GuardedRun {
  readonly req: CallerRequest;
  readonly server: PooledServer;
  /** In milliseconds of the monotonic clock. */
  readonly sentAt: number;
  /**
   * The record that was shared with the other routers before it was sent; `undefined` if none was.
   */
  readonly announced: SuspectRun | undefined;
}

/** Whether a request may be sent to a server. */
export type GuardDecision =
  | { readonly kind: 'run'; readonly run: GuardedRun }
  /** Equal requests ended `MAX_CRASHES` servers. */
  | { readonly kind: 'refuse'; readonly crashCounts: CrashCounts }
  /**
   * To be asked again: another suspect request runs at the server, and a crash could not be
   * attributed to one of the two; or equal requests may have ended `MAX_CRASHES` servers, which is
   * not known yet.
   */
  | { readonly kind: 'wait' };

/** Limits the number of servers that a crashing request can end. */
export interface CrashGuard {
  /**
   * Returns how many server incarnations equal requests ended (`ended`), and how many they ended or
   * may have ended (`lives`, 0 for a request that is not suspect).
   */
  crashCountsOf(req: CallerRequest): CrashCounts;
  /** To be called before each send; shares a suspect run with the other routers first. */
  admit(req: CallerRequest, server: PooledServer): Promise<GuardDecision>;
  /**
   * To be called after each send. Resolves once it is known whether the server ended, or after a
   * bounded wait. `shared` is set if the run counts against the request, and resolves when the
   * other routers know of it.
   */
  finish(
    run: GuardedRun,
    outcome: SendOutcome,
  ): Promise<{ readonly shared: Promise<void> | undefined }>;
  /** Settles runs that may have ended servers by what the registry says; to be called after its changes. */
  applyRegistryChanges(): void;
}

/** Dependencies of a guard. */
export interface CrashGuardOptions {
  readonly record: SuspectRecord;
  readonly directory: Pick<ServerDirectory, 'get' | 'currentSince' | 'confirmedAt'>;
  readonly probe: ServerProbe;
  readonly log: Pick<RouterLog, 'info'>;
  /** Interval at which servers renew their entries, in milliseconds. */
  heartbeatMs(): number;
  /**
   * Shares the suspect record; resolves once the other routers have it, or after a bounded wait.
   */
  shareSuspects(): Promise<void>;
  /** Monotonic time in milliseconds. */
  now(): number;
}

const NOT_SHARED = { shared: undefined };

/**
 * Whether an outcome proves that the server survived the request. Without framing, the end of an
 * answer may be the end of the server.
 */
function provesSuccess(outcome: SendOutcome): boolean {
  if (outcome.kind !== 'answer') return false;
  return outcome.answer.framed && outcome.answer.status < HTTP_SERVER_ERROR;
}

/** Creates a guard. */
export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const { record, directory, probe, log } = options;
  const now = () => options.now();
  /** When the registry was last looked at, in milliseconds of the monotonic clock. */
  let settledAt = -Infinity;

  function newRun(req: CallerRequest, { entry }: PooledServer, state: RunState): SuspectRun {
    const run = randomBytes(RUN_ID_BYTES).toString('base64url');
    const { id, startedMs } = entry;
    return { ...identityOf(req), run, server: id, startedMs, state, othersServed: false };
  }

  function settle(run: SuspectRun, state: RunState, evidence: string, sinceMs: number): void {
    record.put({ ...run, state });
    const fields = { fingerprint: requestKey(run), server: run.server, evidence };
    const afterMs = Math.round(sinceMs);
    if (state === 'cleared') log.info('crash suspicion cleared', { ...fields, afterMs });
    else log.info('crash counted', { ...fields, afterMs });
  }

  /**
   * Whether a listed server has lived on after a time: it has written a heartbeat since, or its entry
   * would have been removed by now.
   */
  function hasLivedOn({ heartbeatAt }: KnownServer, lostAt: number): boolean {
    const removedBy =
      Math.max(lostAt, directory.currentSince()) +
      ENTRY_LIFETIME_HEARTBEATS * options.heartbeatMs();
    return heartbeatAt >= lostAt + MAX_REGISTRY_DELAY_MS || directory.confirmedAt() >= removedBy;
  }

  /**
   * Returns what the registry shows about a run's server; `undefined` if that is not conclusive.
   */
  function registryEvidence(
    run: SuspectRun,
    lostAt: number,
  ): 'gone' | 'new-start' | 'alive' | undefined {
    const known = directory.get(run.server);
    if (!known) return 'gone';
    const { startedMs } = known.entry;
    if (startedMs > run.startedMs) return 'new-start';
    return startedMs === run.startedMs && hasLivedOn(known, lostAt) ? 'alive' : undefined;
  }

  /**
   * Settles a run that was lost, and revokes that its server has ended if that was presumed: neither
   * a refused connection nor a missing entry proves it. Returns whether its state has changed.
   */
  function settleLoss({ run, at }: TimedRun): boolean {
    const evidence = registryEvidence(run, at);
    if (evidence === undefined || (run.state === 'ended' && evidence !== 'alive')) return false;
    settle(run, evidence === 'alive' ? 'cleared' : 'ended', evidence, now() - at);
    return true;
  }

  function settleLosses(): void {
    settledAt = now();
    const settled = record.losses().filter(settleLoss);
    if (settled.length > 0) void options.shareSuspects();
  }

  /** Whether the end of a server is planned: it is draining, or its entry was removed. */
  function isLeaving({ entry }: PooledServer): boolean {
    const known = directory.get(entry.id);
    return known === undefined || known.entry.draining;
  }

  /** Probes a server's address after it lost a run; an inconclusive probe leaves the run lost. */
  async function probeLostServer(run: SuspectRun, address: string): Promise<RunState> {
    const lostAt = now();
    const result = await probe.check(address);
    const sinceMs = now() - lostAt;
    const state =
      result === 'refused'
        ? 'ended'
        : result === 'listens' && sinceMs < MIN_RESTART_MS
          ? 'cleared'
          : 'lost';
    if (state !== 'lost') settle(run, state, result, sinceMs);
    return state;
  }

  /** Records a run whose connection broke, or whose answer was invalid or unframed. */
  async function recordLoss({
    req,
    server,
    announced,
  }: GuardedRun): Promise<{ shared: Promise<void> | undefined }> {
    const run = { ...(announced ?? newRun(req, server, 'lost')), state: 'lost' as const };
    record.put(run);
    const probed = probeLostServer(run, server.entry.address);
    const state = await Promise.race([probed, sleep(PROBE_WAIT_MS, 'lost' as const)]);
    if (state === 'cleared' && !announced) return NOT_SHARED;
    void probed.then((later) => {
      if (later !== state) void options.shareSuspects();
    });
    return { shared: options.shareSuspects() };
  }

  /** Probes the server of a cancelled run, which may have ended without closing its connections. */
  async function probeUnansweringServer({ req, server, announced }: GuardedRun): Promise<void> {
    const lostAt = now();
    // The server may only now begin the request, and crash.
    await sleep(UNANSWERED_PROBE_DELAY_MS);
    const result = await probe.check(server.entry.address);
    const run = announced ?? newRun(req, server, 'lost');
    const hasEnded = result === 'refused' || registryEvidence(run, lostAt) === 'new-start';
    if (hasEnded) settle(run, 'ended', 'silent and gone', now() - lostAt);
    else if (announced) record.put({ ...run, state: result === 'listens' ? 'cleared' : 'lost' });
    else return;
    await options.shareSuspects();
  }

  function clearSuspicion(announced: SuspectRun | undefined): void {
    if (!announced) return;
    record.put({ ...announced, state: 'cleared' });
    void options.shareSuspects();
  }

  /** Waits for a change of the suspect record, at most for one poll interval. */
  async function waitBeforeRetry(): Promise<{ kind: 'wait' }> {
    await record.waitForChange(record.change(), SUSPECT_POLL_INTERVAL_MS);
    return { kind: 'wait' };
  }

  async function admitSuspect(
    req: CallerRequest,
    server: PooledServer,
    identity: RequestIdentity,
  ): Promise<GuardDecision> {
    const crashCounts = record.crashCountsOf(identity);
    if (crashCounts.ended >= MAX_CRASHES) return { kind: 'refuse', crashCounts };
    if (crashCounts.lives >= MAX_CRASHES) return waitBeforeRetry();
    const announced = newRun(req, server, 'running');
    // What answers at its address now is a later life, which would not be counted as one.
    if (record.hasEnded(announced, identity)) return waitBeforeRetry();
    if (record.otherRunningAt(announced, identity) !== undefined) return waitBeforeRetry();
    record.put(announced);
    // A further server is risked only once the other routers know: equal requests may have ended
    // servers at several routers at the same time.
    await options.shareSuspects();
    const next = record.crashCountsOf(identity);
    if (next.lives > MAX_CRASHES) {
      clearSuspicion(announced);
      return waitBeforeRetry();
    }
    const other = record.otherRunningAt(announced, identity);
    if (other !== undefined && other < requestKey(identity)) {
      clearSuspicion(announced);
      return waitBeforeRetry();
    }
    return { kind: 'run', run: { req, server, sentAt: now(), announced } };
  }

  return {
    crashCountsOf(req) {
      if (record.isEmpty()) return { lives: 0, ended: 0 };
      if (now() >= settledAt + SETTLE_INTERVAL_MS) settleLosses();
      return record.crashCountsOf(identityOf(req));
    },
    async admit(req, server) {
      const isSuspect = !record.isEmpty() && record.crashCountsOf(identityOf(req)).lives > 0;
      if (isSuspect) return admitSuspect(req, server, identityOf(req));
      return { kind: 'run', run: { req, server, sentAt: now(), announced: undefined } };
    },
    async finish(run, outcome) {
      const { req, server, sentAt, announced } = run;
      if (provesSuccess(outcome)) {
        if (!record.isEmpty()) record.noteAnswered(identityOf(req));
        clearSuspicion(announced);
        return NOT_SHARED;
      }
      const isCancelled = outcome.kind === 'unknown' && outcome.why === 'cancelled';
      const isUnframed = outcome.kind === 'answer' && !outcome.answer.framed;
      const mayHaveEnded = outcome.kind === 'unknown' || isUnframed;
      // A suspect request gets no such benefit of the doubt: it ended other servers that stayed.
      const mayBePlanned = announced === undefined || isCancelled;
      const isPlanned =
        isLeaving(server) && mayBePlanned && (!isCancelled || req.disconnectSignal.aborted);
      const isAlive = isCancelled && server.lastAnsweredAt >= sentAt;
      if (!mayHaveEnded || isPlanned || isAlive) {
        clearSuspicion(announced);
        return NOT_SHARED;
      }
      if (isCancelled) {
        void probeUnansweringServer(run);
        return NOT_SHARED;
      }
      return recordLoss(run);
    },
    applyRegistryChanges() {
      if (!record.isEmpty()) settleLosses();
    },
  };
}
