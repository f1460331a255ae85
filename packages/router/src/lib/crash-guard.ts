import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  type RequestIdentity,
  type RunState,
  type ServerDirectory,
  type CrashCounts,
  type SuspectRecord,
  type SuspectRun,
  requestKey,
} from '@boragepoint/placement';

import type { CallerRequest } from './caller-request.js';
import { identityOf } from './request-identity.js';
import { HTTP_SERVER_ERROR, MAX_CRASHES } from './request-outcome.js';
import type { RouterLog } from './router-log.js';
import type { SendOutcome } from './send-request.js';
import type { PooledServer } from './server-pool.js';
import type { ServerProbe } from './server-probe.js';

/** A server that ended is back after seconds: whoever listens sooner than this was never gone, in milliseconds. */
const MIN_RESTART_MS = 500;
/** What a server said of itself may arrive this much later, in milliseconds. */
const MAX_REGISTRY_DELAY_MS = 4_000;
/** Longest wait for what a lost server's address shows before the request goes on, in milliseconds. */
const PROBE_WAIT_MS = 250;
/** Time between two looks whether a suspect request may be sent, in milliseconds. */
const SUSPECT_POLL_INTERVAL_MS = 50;
/** Time between the last sign of a request that nobody waits for and the look at its server, in milliseconds. */
const UNANSWERED_PROBE_DELAY_MS = 100;
const RUN_ID_BYTES = 9;

/** A request on its way to a server. */
export interface GuardedRun {
  readonly req: CallerRequest;
  readonly server: PooledServer;
  readonly sentAt: number;
  /** Set if other routers were told before it was sent. */
  readonly announced: SuspectRun | undefined;
}

/** Whether a request may be sent to a server. */
export type GuardDecision =
  | { readonly kind: 'run'; readonly run: GuardedRun }
  /** Equal requests ended as many servers as one may. */
  | { readonly kind: 'barred'; readonly verdict: CrashCounts }
  /**
   * Not now: another suspect request runs at the server, and neither could be told from the other; or equal
   * requests may yet have ended as many servers as one may.
   */
  | { readonly kind: 'wait' };

/** Keeps a request that ends the servers that run it from ending more than a few. */
export interface CrashGuard {
  /** Returns how often equal requests were lost; without lives if the request is beyond suspicion. */
  verdictOf(req: CallerRequest): CrashCounts;
  /** For before each send: a request that is suspect is told to the other routers first. */
  admit(req: CallerRequest, server: PooledServer): Promise<GuardDecision>;
  /**
   * For after each send. Resolves once it is known what became of the server, or after a bounded wait; with a
   * promise for when the other routers know if the run is held against the request.
   */
  finish(
    run: GuardedRun,
    outcome: SendOutcome,
  ): Promise<{ readonly shared: Promise<void> | undefined }>;
  /** Looks for what the registry says of lost runs; for after each of its changes. */
  applyRegistryChanges(): void;
}

/** What a guard needs. */
export interface CrashGuardOptions {
  readonly record: SuspectRecord;
  readonly directory: Pick<ServerDirectory, 'get'>;
  readonly probe: ServerProbe;
  readonly log: Pick<RouterLog, 'info'>;
  /** Tells the other routers; resolves once they know, or after a bounded wait. */
  shareSuspects(): Promise<void>;
  now(): number;
}

const NOT_SHARED = { shared: undefined };

/** The answer shows that a server ran the request to a good end. Without a length its end may be that of the server. */
function provesSuccess(outcome: SendOutcome): boolean {
  if (outcome.kind !== 'answer') return false;
  return outcome.answer.framed && outcome.answer.status < HTTP_SERVER_ERROR;
}

/** Creates a guard. */
export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const { record, directory, probe, log } = options;
  const now = () => options.now();

  function newRun(req: CallerRequest, { entry }: PooledServer, state: RunState): SuspectRun {
    const run = randomBytes(RUN_ID_BYTES).toString('base64url');
    const { id, startedMs } = entry;
    return { ...identityOf(req), run, server: id, startedMs, state, othersServed: false };
  }

  function settle(run: SuspectRun, state: RunState, evidence: string, sinceMs: number): void {
    record.put({ ...run, state });
    const fields = { fingerprint: requestKey(run), server: run.server, evidence };
    const afterMs = Math.round(sinceMs);
    if (state === 'cleared') log.info('suspicion cleared', { ...fields, afterMs });
    else log.info('crash counted', { ...fields, afterMs });
  }

  /** What the registry says of a run's server. */
  function registryEvidence(
    run: SuspectRun,
    lostAt: number,
  ): 'gone' | 'new-start' | 'alive' | undefined {
    const known = directory.get(run.server);
    if (!known) return 'gone';
    if (known.entry.startedMs > run.startedMs) return 'new-start';
    return known.receivedAt >= lostAt + MAX_REGISTRY_DELAY_MS ? 'alive' : undefined;
  }

  /** The server had said that it leaves, or its entry was taken back: its end was planned. */
  function isLeaving({ entry }: PooledServer): boolean {
    const known = directory.get(entry.id);
    return known === undefined || known.entry.draining;
  }

  /** Finds out from the server's address what became of it; the run stays lost if nothing can be told. */
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

  /** A run whose connection ended, or whose answer was none. */
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

  /** A run that nobody waits for any more: the server may have ended in silence. */
  async function probeUnansweringServer({ req, server, announced }: GuardedRun): Promise<void> {
    const lostAt = now();
    // It may be about to begin the request, and to end with it.
    await sleep(UNANSWERED_PROBE_DELAY_MS);
    const result = await probe.check(server.entry.address);
    const run = announced ?? newRun(req, server, 'lost');
    const isOver = result === 'refused' || registryEvidence(run, lostAt) === 'new-start';
    if (isOver) settle(run, 'ended', 'silent and gone', now() - lostAt);
    else if (announced) record.put({ ...run, state: result === 'listens' ? 'cleared' : 'lost' });
    else return;
    await options.shareSuspects();
  }

  function clearSuspicion(announced: SuspectRun | undefined): void {
    if (!announced) return;
    record.put({ ...announced, state: 'cleared' });
    void options.shareSuspects();
  }

  /** Waits for a change of what is known, for a short time. */
  async function waitBeforeRetry(): Promise<{ kind: 'wait' }> {
    await record.waitForChange(record.change(), SUSPECT_POLL_INTERVAL_MS);
    return { kind: 'wait' };
  }

  async function admitSuspect(
    req: CallerRequest,
    server: PooledServer,
    identity: RequestIdentity,
  ): Promise<GuardDecision> {
    const verdict = record.crashCountsOf(identity);
    if (verdict.ended >= MAX_CRASHES) return { kind: 'barred', verdict };
    if (verdict.lives >= MAX_CRASHES) return waitBeforeRetry();
    const announced = newRun(req, server, 'running');
    if (record.otherRunningAt(announced, identity) !== undefined) return waitBeforeRetry();
    record.put(announced);
    const shared = options.shareSuspects();
    // The last server that it may end is risked only when no other router can do the same.
    if (verdict.lives === MAX_CRASHES - 1) await shared;
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
    verdictOf: (req) =>
      record.isEmpty() ? { lives: 0, ended: 0 } : record.crashCountsOf(identityOf(req)),
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
      const isPlanned = isLeaving(server) && (!isCancelled || req.disconnectSignal.aborted);
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
      if (record.isEmpty()) return;
      const settled = record.lost().filter(({ ageMs, ...run }) => {
        const evidence = registryEvidence(run, now() - ageMs);
        if (evidence) settle(run, evidence === 'alive' ? 'cleared' : 'ended', evidence, ageMs);
        return evidence !== undefined;
      });
      if (settled.length > 0) void options.shareSuspects();
    },
  };
}
