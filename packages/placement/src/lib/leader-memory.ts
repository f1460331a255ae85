import type { FormerLeaderAnswer } from './former-leader.js';
import type { Candidate } from './leader-lease.js';
import type { PlacementLogger } from './leader-context.js';
import type { LeaderAddress } from './leader-messages.js';
import type { PlacementLeader } from './placement-leader.js';
import { releasedLease } from './placement-record.js';
import type { PlacementView } from './placement-view.js';
import { MAX_UNANSWERED_GRANT_MS } from './recover-placement.js';
import type { ReportAnswer } from './report-messages.js';
import type { StoppedLeader } from './stopped-leader.js';
import type { Clocks } from './suspension-guard.js';
import { WITNESS_TTL_MS } from './witnesses.js';

/** A request to a former leader to step down. */
export interface StepDownRequest {
  readonly epoch: number;
  /** Start of its process; 0 names the process that led the epoch. */
  readonly startedMs: number;
  /**
   * The era of the store that the asking router wants to claim; `undefined` if it has acquired the
   * leadership lease.
   */
  readonly claimedEra: number | undefined;
}

/** Answer to a request to step down. */
export interface StepDownReply {
  /** Time until unanswered grants have expired, in milliseconds. */
  readonly unansweredForMs: number;
  /** What the router knew as the leader of that epoch, if it still knows. */
  readonly stopped: StoppedLeader | undefined;
}

/** What a router knows about the leader of a view. */
export interface LeaderKnowledge {
  /** True if the leader told this router of each move before its first order. */
  readonly isWitness: boolean;
  /** Time since a leader was heard, in milliseconds. */
  readonly heardAgoMs: number;
  readonly leader: LeaderAddress | undefined;
}

/**
 * What a router remembers of leaders, itself included, for the case that the store comes back from
 * an older copy and forgets them.
 */
export interface LeaderMemory {
  /** The last epoch that this router led; 0 if it has not led. */
  lastEpochLed(): number;
  /** What this router knew when it last stopped leading. */
  lastStopped(): StoppedLeader | undefined;
  /**
   * Notes that no leader has claimed an era of the store; returns the time since this was first
   * seen, in milliseconds.
   */
  noteUnclaimed(era: number): number;
  /** Notes that the present era is claimed. */
  noteClaimed(): void;
  /** Time since the present era was first seen unclaimed, in milliseconds; `undefined` if it is claimed. */
  unclaimedForMs(): number | undefined;
  /** Notes a leader's answer to a report; returns whether that leader is a new one. */
  noteAnswer(followed: LeaderAddress, answer: ReportAnswer): boolean;
  /** Notes that a leader of an epoch told this router of a move. */
  noteWitnessed(epoch: number): void;
  /** Notes that some router heard of a leader at a time, on the monotonic clock. */
  noteHeard(at: number): void;
  /** Notes that this router leads an epoch. */
  noteLed(epoch: number): void;
  /** Keeps what the leader of this router knows, when it stops. */
  keepStopped(leader: PlacementLeader): void;
  knowledgeOf(view: PlacementView | undefined): LeaderKnowledge;
  /**
   * Notes the answer of a leader that was asked to step down; returns the time for which its
   * process has been known to have ended, in milliseconds.
   */
  noteStepDown(epoch: number, answer: FormerLeaderAnswer['kind']): number;
  /**
   * Answers a request to step down: `gone` if it names another process, `refused` if `leader` leads
   * in the era that the asking router wants to claim.
   */
  answerStepDown(
    req: StepDownRequest,
    leader: PlacementLeader | undefined,
  ): StepDownReply | 'gone' | 'refused';
}

/** Options of {@link createLeaderMemory}. */
export interface LeaderMemoryOptions {
  readonly self: Candidate;
  readonly clocks: Clocks;
  readonly log: PlacementLogger;
}

/** Creates an empty memory. */
export function createLeaderMemory({ self, clocks, log }: LeaderMemoryOptions): LeaderMemory {
  let lastEpochLed = 0;
  let lastStopped: StoppedLeader | undefined;
  /** The era whose claimant was given that, if this router stopped because it was asked. */
  let stoppedForEra: number | undefined;
  /** The leader that was asked to step down last, and since when it has given this answer. */
  let asked: { epoch: number; answer: FormerLeaderAnswer['kind']; since: number } | undefined;
  /** An era of the store that no leader has claimed, and when that was first seen. */
  let unclaimed: { era: number; since: number } | undefined;
  /** The leader that answered last, and when, on the monotonic clock. */
  let lastLeader: LeaderAddress | undefined;
  let heardAt = -Infinity;
  /** Epoch of the leader that told this router of each move before its first order. */
  let witnessedEpoch: number | undefined;

  /** Returns whether this router witnesses an epoch until the store came back, or until now. */
  function isWitnessOf(epoch: number | undefined): boolean {
    const until = unclaimed?.since ?? clocks.monotonic();
    return witnessedEpoch === epoch && until - heardAt <= WITNESS_TTL_MS;
  }

  function keepStopped(stopping: PlacementLeader, isAskedToStop: boolean): StoppedLeader {
    const { content, isEndedByReturn, ...rest } = stopping.stopped();
    const { epoch } = stopping;
    const placement = { ...content, version: 0, leaderLease: releasedLease(self, epoch) };
    const wasLast = lastStopped?.placement.leaderLease.epoch === epoch && lastStopped.isLast;
    const isLast = wasLast || isAskedToStop;
    // The leader stopped when it was asked, not when its last tasks ended.
    const lapsedForMs = wasLast ? (lastStopped?.lapsedForMs ?? Infinity) : rest.lapsedForMs;
    lastStopped = { placement, ...rest, isLast, lapsedForMs };
    // Another router may have led after one that handed over, or lost its lease.
    if (isLast || isEndedByReturn) heardAt = clocks.monotonic();
    else witnessedEpoch = undefined;
    return lastStopped;
  }

  function stopLeader(leader: PlacementLeader, claimedEra: number | undefined): StepDownReply {
    const unansweredForMs = leader.stepDown();
    stoppedForEra = claimedEra;
    return { unansweredForMs, stopped: keepStopped(leader, claimedEra !== undefined) };
  }

  return {
    lastEpochLed: () => lastEpochLed,
    lastStopped: () => lastStopped,
    noteUnclaimed(era) {
      const now = clocks.monotonic();
      if (unclaimed?.era !== era) unclaimed = { era, since: now };
      return now - unclaimed.since;
    },
    noteClaimed() {
      unclaimed = undefined;
    },
    unclaimedForMs: () => unclaimed && clocks.monotonic() - unclaimed.since,
    noteAnswer(followed, { view, isLeaseExpired, witnesses }) {
      const isNew = lastLeader?.epoch !== followed.epoch;
      lastLeader = { ...followed, epoch: view?.epoch ?? followed.epoch };
      if (!isLeaseExpired) heardAt = clocks.monotonic();
      // The leader has given up telling this router.
      if (witnessedEpoch === view?.epoch && !witnesses.includes(self.address))
        witnessedEpoch = undefined;
      return isNew;
    },
    noteWitnessed(epoch) {
      witnessedEpoch = epoch;
      heardAt = clocks.monotonic();
    },
    noteHeard(at) {
      heardAt = Math.max(heardAt, at);
    },
    noteLed(epoch) {
      unclaimed = undefined;
      lastEpochLed = epoch;
      witnessedEpoch = epoch;
    },
    keepStopped(leader) {
      keepStopped(leader, false);
    },
    knowledgeOf: (view) => ({
      isWitness: isWitnessOf(view?.epoch),
      heardAgoMs: clocks.monotonic() - heardAt,
      leader: lastLeader?.epoch === view?.epoch ? lastLeader : undefined,
    }),
    noteStepDown(epoch, answer) {
      const now = clocks.monotonic();
      const before = asked?.epoch === epoch ? asked : undefined;
      if (before?.answer !== answer)
        log.info('leader before the return asked to step down', { epoch, answer });
      const isKnownGone = before !== undefined && before.answer !== 'silent';
      const since = isKnownGone ? before.since : now;
      asked = { epoch, answer, since };
      return answer === 'silent' ? 0 : now - since;
    },
    answerStepDown({ epoch, startedMs, claimedEra }, leader) {
      if (startedMs !== 0 && startedMs !== self.startedMs) return 'gone';
      if (leader?.epoch === epoch) {
        // A claimant's reading of the row may be older than the leader's own claim.
        if (claimedEra !== undefined && leader.era() >= claimedEra) return 'refused';
        return stopLeader(leader, claimedEra);
      }
      // A process that has not led the epoch is a later one.
      if (startedMs === 0 && epoch > lastEpochLed) return 'gone';
      const unansweredForMs = epoch <= lastEpochLed ? MAX_UNANSWERED_GRANT_MS : 0;
      if (lastStopped?.placement.leaderLease.epoch !== epoch)
        return { unansweredForMs, stopped: undefined };
      // In a later era, a router that got the record in an earlier one may have led since.
      const isLast = lastStopped.isLast && stoppedForEra === claimedEra;
      return { unansweredForMs, stopped: { ...lastStopped, isLast } };
    },
  };
}
