import type { ServiceConfig } from '@boragepoint/config';
import type { LeaseAnswer } from '@boragepoint/platform';

import { assignRoles } from './keeper-roles.js';
import type { OwnershipContext } from './ownership-context.js';
import { monotonicMs, pause } from './pause.js';
import type { VersionedRow } from './row-store.js';
import type { ShardChange } from './shard-mover.js';
import { RECORDED_EPOCH_STEP } from './shard-release.js';
import { type CutoffQuery, maxLeaseMs, findRenewalCutoff, maxTenureMs } from './renewal-cutoff.js';
import { type Assignment, type KeeperRow, ROW_PREFIXES } from './table-rows.js';
import { chooseTargets, usableServers } from './target-chooser.js';

/**
 * Time for the write of moves to end. After it, shards may move to their stored successors before
 * the write ends (rule 9 in DESIGN.md).
 */
const UNRECORDED_MOVE_AFTER_MS = 150;

/** Interval between requests to all routers to stand down. */
const STAND_DOWN_RETRY_INTERVAL_MS = 50;
/** Step to the epoch that is reserved for the stored successor. */
const SUCCESSOR_EPOCH_STEP = 1;

/** What the acting keeper does about a backend server that is lost or comes back. */
export interface ServerRecovery {
  /** Moves the shards of a server that no longer answers, once its lease has lapsed for certain. */
  moveFromLostServer(
    row: VersionedRow<KeeperRow>,
    service: ServiceConfig,
    query: CutoffQuery,
  ): Promise<void>;
  /**
   * Gives the shards new epochs after the server was restarted, then accepts the new incarnation.
   */
  adoptIncarnation(
    row: VersionedRow<KeeperRow>,
    service: ServiceConfig,
    incarnation: string,
    query: CutoffQuery,
  ): Promise<void>;
  /**
   * Completes moves that an earlier keeper may have carried out without a record: shards that the
   * server no longer holds go to their stored successors. True when all are recorded.
   */
  completeMoves(
    row: VersionedRow<KeeperRow>,
    service: ServiceConfig,
    answer: LeaseAnswer,
  ): Promise<boolean>;
  /** Notes that the backend server answered, so that it does not count as lost any more. */
  noteAnswer(): void;
  /** True when the standby has stood down, so that new keeper epochs are needed. */
  needsNewEpochs(): boolean;
  /** Notes that new roles with new keeper epochs are in the table. */
  rolesWritten(): void;
}

/**
 * Creates the recovery of one backend server.
 * @param hasOpenSuccessorWrite True while the outcome of a write of stored successors is unknown,
 *   so that the table may authorise another successor than the one known here.
 */
export function createServerRecovery(
  ctx: OwnershipContext,
  serverId: string,
  hasOpenSuccessorWrite: () => boolean,
  signal: AbortSignal,
): ServerRecovery {
  let standbyStoodDown = false;
  let isLost = false;

  function toSuccessor(assignment: Assignment, reason: string): ShardChange {
    return {
      shard: assignment.shard,
      from: serverId,
      to: assignment.successor,
      epoch: assignment.epoch + SUCCESSOR_EPOCH_STEP,
      successor: '',
      reason,
    };
  }

  function toTarget(assignment: Assignment, to: string, reason: string): ShardChange {
    const epoch = assignment.epoch + RECORDED_EPOCH_STEP;
    return { shard: assignment.shard, from: serverId, to, epoch, successor: '', reason };
  }

  /**
   * Plans the moves of a server's shards. While an earlier keeper may have moved the shards to
   * their stored successors, they may go to these successors only, even to one that is lost too: its
   * own keeper then moves the shards on.
   */
  function planMovesAway(
    service: ServiceConfig,
    owned: Assignment[],
    reason: string,
    mayHaveUnrecordedMoves: boolean,
  ): ShardChange[] {
    const usable = new Set(usableServers(ctx, service).map((it) => it.id));
    usable.delete(serverId);
    const hasUsableSuccessor = ({ successor }: Assignment) =>
      successor !== '' && (mayHaveUnrecordedMoves || usable.has(successor));
    const withSuccessor = owned.filter(hasUsableSuccessor);
    const others = owned.filter((it) => !hasUsableSuccessor(it));
    const targets = chooseTargets(ctx, service, serverId, others.length);
    const chosen = others.flatMap((it, i) => {
      const target = targets[i];
      return target === undefined ? [] : [toTarget(it, target, reason)];
    });
    return [...withSuccessor.map((it) => toSuccessor(it, reason)), ...chosen];
  }

  /**
   * Asks all routers to stand down until every one has promised. Returns false once the moves are
   * recorded, the tenure has ended, the keeper row has changed, or the outcome of a write of stored
   * successors is unknown.
   */
  async function mayMoveUnrecorded(
    row: VersionedRow<KeeperRow>,
    service: ServiceConfig,
    recording: Promise<unknown>,
  ): Promise<boolean> {
    const recorded = new AbortController();
    void recording.then(() => {
      recorded.abort();
    });
    const tenureEnd = ctx.lastTableReadAt() + service.lease.tenureMs;
    while (!signal.aborted && !hasOpenSuccessorWrite()) {
      const promised = await ctx.peers.standDownAll(
        serverId,
        row.value.acting.epoch,
        maxTenureMs(service.lease),
      );
      const isOver =
        monotonicMs() >= tenureEnd || ctx.map.keeper(serverId)?.version !== row.version;
      if (recorded.signal.aborted || isOver) return false;
      if (promised) return true;
      await pause(STAND_DOWN_RETRY_INTERVAL_MS, signal);
    }
    return false;
  }

  /** Carries out authorised moves before they are recorded, once no router can claim the roles. */
  async function moveUnrecorded(
    row: VersionedRow<KeeperRow>,
    service: ServiceConfig,
    owned: Assignment[],
    changes: ShardChange[],
    recording: Promise<unknown>,
  ): Promise<void> {
    if (!(await mayMoveUnrecorded(row, service, recording))) return;
    const successors = new Map(owned.map((it) => [it.shard, it.successor]));
    const authorised = changes.filter((it) => it.to === successors.get(it.shard));
    const moves = authorised.map(({ shard, to, epoch }) => ({
      service: service.name,
      shard,
      owner: to,
      epoch,
    }));
    ctx.map.addUnrecorded(moves);
    ctx.peers.announce();
    ctx.journal.add('move', { server: serverId }, `${moves.length} shards to stored successors`);
  }

  async function recordMoves(
    row: VersionedRow<KeeperRow>,
    service: ServiceConfig,
    owned: Assignment[],
    changes: ShardChange[],
  ): Promise<void> {
    if (changes.length === 0) return;
    const recording = ctx.mover.record(service.name, row, changes, signal);
    const timeout = new AbortController();
    const raceResult = await Promise.race([
      recording.then(() => 'recorded' as const),
      pause(ctx.isTableUp() ? UNRECORDED_MOVE_AFTER_MS : 0, timeout.signal).then(
        () => 'late' as const,
      ),
    ]);
    timeout.abort();
    if (raceResult === 'late') await moveUnrecorded(row, service, owned, changes, recording);
    const recorded = await recording;
    ctx.peers.announce();
    if (recorded.isOk()) {
      ctx.journal.add(
        'move',
        { server: serverId },
        `${changes.length} shards: ${changes[0]?.reason}`,
      );
    }
  }

  async function replaceStandby(row: VersionedRow<KeeperRow>): Promise<void> {
    const found = ctx.map.server(serverId);
    if (found === undefined || !ctx.isTableUp()) return;
    const { self } = ctx.membership;
    const value = assignRoles(ctx, row.value.service, found.server, self, row.value);
    await ctx.writer.write([{ key: row.key, expectedVersion: row.version, value }], signal);
    ctx.peers.announce();
  }

  /** Waits until the lease has lapsed for certain; false when that can't be proved yet. */
  async function waitForLapse(
    row: VersionedRow<KeeperRow>,
    service: ServiceConfig,
    query: CutoffQuery,
  ): Promise<boolean> {
    const cutoff = await findRenewalCutoff(ctx, query);
    if (cutoff === 'tenure-not-over') return false;
    if (cutoff === 'standby-unreachable') {
      await replaceStandby(row);
      return false;
    }
    standbyStoodDown = row.value.standby !== undefined;
    await pause(cutoff.stoppedAt + maxLeaseMs(service.lease) - monotonicMs(), signal);
    return !signal.aborted && ctx.map.keeper(serverId)?.version === row.version;
  }

  return {
    async moveFromLostServer(row, service, query) {
      if (!isLost) ctx.journal.add('lapse', { server: serverId }, 'renewals go unanswered');
      isLost = true;
      const owned = ctx.map.ownedBy(service.name, serverId);
      if (owned.length === 0) return;
      if (!(await waitForLapse(row, service, query))) return;
      const changes = planMovesAway(
        service,
        owned,
        'the owner was lost',
        query.mayHaveUnrecordedMoves,
      );
      await recordMoves(row, service, owned, changes);
    },
    async adoptIncarnation(row, service, incarnation, query) {
      const owned = ctx.map.ownedBy(service.name, serverId);
      if (row.value.serverStart !== undefined && owned.length > 0) {
        if (!(await waitForLapse(row, service, query))) return;
        const reason = 'the owner was started anew';
        const mayStay = ctx.isTableUp() && !query.mayHaveUnrecordedMoves;
        const changes = mayStay
          ? owned.map((it) => toTarget(it, serverId, reason))
          : planMovesAway(service, owned, reason, query.mayHaveUnrecordedMoves);
        await recordMoves(row, service, owned, changes);
      }
      const value = { ...row.value, serverStart: incarnation };
      await ctx.writer.write([{ key: row.key, expectedVersion: row.version, value }], signal);
      ctx.peers.announce();
    },
    async completeMoves(row, service, answer) {
      const keys = ctx.rows.keys(`${ROW_PREFIXES.assign}${service.name}/`);
      if (!(await ctx.writer.refresh(keys))) return false;
      const held = new Set(answer.leaseLeftMs > 0 ? answer.held.map((it) => it.shard) : []);
      const owned = ctx.map.ownedBy(service.name, serverId);
      const lapsed = owned.filter((it) => !held.has(it.shard));
      if (lapsed.length === 0) return true;
      const reason = 'a replaced keeper may have moved the shard';
      const changes = lapsed.map((it) =>
        it.successor === '' ? toTarget(it, serverId, reason) : toSuccessor(it, reason),
      );
      const recorded = await ctx.mover.record(service.name, row, changes, signal);
      ctx.peers.announce();
      return recorded.isOk();
    },
    noteAnswer() {
      if (isLost) ctx.journal.add('lapse', { server: serverId }, 'the server answers again');
      isLost = false;
    },
    needsNewEpochs: () => standbyStoodDown,
    rolesWritten() {
      standbyStoodDown = false;
    },
  };
}
