import type { BackendServer, ServiceConfig } from '@boragepoint/config';
import { type LeaseAnswer, type ShardEpoch, createWakeSignal } from '@boragepoint/platform';
import { type Result, err } from 'neverthrow';

import type { StandDownAnswer } from './keeper-peers.js';
import { assignRoles, promoteStandby } from './keeper-roles.js';
import type { MoveOrder } from './move-order.js';
import type { OwnershipContext } from './ownership-context.js';
import { monotonicMs } from './pause.js';
import { createReleaseList } from './release-list.js';
import type { VersionedRow } from './row-store.js';
import { type HeldRole, STANDBY_TAKEOVER_AFTER_MS, createRoleHolder } from './role-holder.js';
import { createKeeperRowWriter } from './keeper-row-writer.js';
import { createServerRecovery } from './server-recovery.js';
import { MoveError } from './shard-mover.js';
import { maxTenureMs } from './renewal-cutoff.js';
import { releaseAndMove } from './shard-release.js';
import { updateSuccessors } from './stored-successors.js';
import { recordInheritedMoves } from './inherited-moves.js';
import { type KeeperRow, keeperKey } from './table-rows.js';

/**
 * Share of the lease length without an answer after which a backend server counts as lost, if
 * {@link LOST_AFTER_UNANSWERED_RENEWALS} went unanswered too.
 */
const LOST_AFTER_LEASE_SHARE = 0.5;
/** Time without a heartbeat of the standby after which another router becomes the standby. */
const REPLACE_STANDBY_AFTER_MS = 2_000;
/** Unanswered renewals in a row below which a backend server does not count as lost. */
const LOST_AFTER_UNANSWERED_RENEWALS = 2;
/** Lower limit of the time that a renewal waits for its answer. */
const MIN_RENEW_TIMEOUT_MS = 100;
/** Interval between checks of the stored successors. */
const SUCCESSOR_CHECK_INTERVAL_MS = 1_000;

/** The task of the keeper or the standby of one backend server. */
export interface KeeperSession extends AsyncDisposable {
  /**
   * True while this router renews the backend server's lease, as the acting keeper or as a standby
   * that has taken over: the server has accepted its keeper epoch and does not count as lost.
   */
  isRenewing(): boolean;
  /** True while the backend server counts as lost to this router, which renews its lease. */
  isUnreachable(): boolean;
  /** True while this router is the standby but may not renew, having stood down or been refused. */
  isDisabledStandby(): boolean;
  /** Stands down from the role of standby; the acting keeper refuses. */
  standDown(): StandDownAnswer;
  /** Releases shards at the backend server and records their new owners. */
  moveAway(orders: readonly MoveOrder[], reason: string): Promise<Result<void, MoveError>>;
  /** Hands the keeper's role over to the standby, or to the router named. */
  handOver(to?: string): Promise<void>;
  /** Starts the next iteration at once, because rows have changed. */
  wake(): void;
}

/** Row, role, service and backend server of one iteration of the task. */
interface Iteration {
  readonly row: VersionedRow<KeeperRow>;
  readonly held: HeldRole;
  readonly service: ServiceConfig;
  readonly server: BackendServer;
}

/**
 * Creates the task and starts it. It ends when it is disposed of.
 * @param isUnannouncedEpoch True for an epoch that this router claimed while the keeper before it
 *   may not have known this router; no lease is renewed under it for a tenure.
 */
export function createKeeperSession(
  ctx: OwnershipContext,
  serverId: string,
  isUnannouncedEpoch: (keeperEpoch: number) => boolean,
): KeeperSession {
  const stopping = new AbortController();
  const { signal } = stopping;
  const wakeSignal = createWakeSignal();
  const releases = createReleaseList();
  const roles = createRoleHolder(ctx, serverId);
  const recovery = createServerRecovery(ctx, serverId, () => successorUpdate !== undefined, signal);
  const rowWriter = createKeeperRowWriter(
    ctx,
    () => {
      recovery.rolesWritten();
    },
    () => {
      wakeSignal.wake();
    },
    signal,
  );
  let successorUpdate: Promise<void> | undefined;
  let nextSuccessorCheckAt = 0;
  const done = run();

  async function run(): Promise<void> {
    while (!signal.aborted) {
      const iteration = nextIteration();
      if (iteration !== undefined) await runIteration(iteration);
      else reclaimKeeperRole();
      const intervalMs = iteration?.service.lease.renewEveryMs ?? STANDBY_TAKEOVER_AFTER_MS / 4;
      await wakeSignal.wait(intervalMs, signal);
    }
  }

  function nextIteration(): Iteration | undefined {
    const row = ctx.map.keeper(serverId);
    const found = ctx.map.server(serverId);
    const held = row && roles.acquire(row);
    return row && held && found && { row, held, ...found };
  }

  function reclaimKeeperRole(): void {
    const row = ctx.map.keeper(serverId);
    const found = ctx.map.server(serverId);
    if (row === undefined || found === undefined) return;
    if (!roles.mustReclaim(row.value)) return;
    const { service, server } = found;
    const before = { ...row.value, nextEpoch: roles.nextEpoch(row.value) };
    rowWriter.write(row, assignRoles(ctx, service.name, server, ctx.membership.self, before));
  }

  /** Renews once, then updates the keeper row or the stored successors if necessary. */
  async function runIteration(iteration: Iteration): Promise<void> {
    const { row, held, service, server } = iteration;
    if (!withinTenure(service) || mustWaitOutTenure(held, service)) return;
    await renewOnce(iteration);
    if (!held.isActing) promoteSelf(iteration);
    else if (needsNewRoles(iteration)) {
      rowWriter.write(row, assignRoles(ctx, service.name, server, ctx.membership.self, row.value));
    } else startSuccessorUpdate(iteration);
  }

  function mustWaitOutTenure({ role, takenAt }: HeldRole, service: ServiceConfig): boolean {
    return isUnannouncedEpoch(role.epoch) && monotonicMs() < takenAt + maxTenureMs(service.lease);
  }

  function withinTenure(service: ServiceConfig): boolean {
    return monotonicMs() < ctx.lastTableReadAt() + service.lease.tenureMs;
  }

  async function renewOnce(iteration: Iteration): Promise<void> {
    const { held, service, server } = iteration;
    const { leaseMs, renewEveryMs } = service.lease;
    const outcome = await held.renewer.renew({
      address: server.address,
      leaseMs,
      timeoutMs: Math.max(MIN_RENEW_TIMEOUT_MS, renewEveryMs),
      grants: grantsFor(iteration),
      release: releases.list(service.name),
    });
    switch (outcome.kind) {
      case 'renewed':
      case 'new-incarnation':
        recovery.noteAnswer();
        releases.confirm(outcome.answer);
        await prepareForGrants(iteration, outcome.answer);
        if (outcome.kind === 'new-incarnation') wakeSignal.wake();
        return;
      case 'replaced':
        noteReplaced(outcome.keeperEpoch);
        return;
      case 'no-answer':
        await recoverIfLost(iteration);
    }
  }

  function grantsFor({ row, held, service }: Iteration): ShardEpoch[] {
    if (
      held.renewer.serverIncarnation() !== row.value.serverStart ||
      roles.mayHaveUnrecordedMoves()
    )
      return [];
    const owned = ctx.map.ownedBy(service.name, serverId);
    const kept = owned.filter((it) => !releases.has(it.shard, it.epoch));
    return kept.map(({ shard, epoch }) => ({ service: service.name, shard, epoch }));
  }

  function noteReplaced(keeperEpoch: number): void {
    roles.noteRefused(keeperEpoch);
    const message = `keeper epoch ${keeperEpoch} is in place`;
    ctx.journal.add('takeover', { server: serverId }, message);
    void ctx.writer.refresh([keeperKey(serverId)]);
  }

  /** Accepts a new incarnation, or completes earlier moves, before shards are granted. */
  async function prepareForGrants(iteration: Iteration, answer: LeaseAnswer): Promise<void> {
    const { row, held, service } = iteration;
    if (!held.isActing) return;
    if (answer.start !== row.value.serverStart) {
      await recovery.adoptIncarnation(row, service, answer.start, cutoffQueryOf(iteration));
    } else if (
      roles.mayHaveUnrecordedMoves() &&
      (await recovery.completeMoves(row, service, answer))
    ) {
      roles.noteNoUnrecordedMoves();
    }
  }

  async function recoverIfLost(iteration: Iteration): Promise<void> {
    const { row, held, service } = iteration;
    if (!held.isActing || rowWriter.isHandingOver() || !countsAsLost(iteration)) return;
    await recovery.moveFromLostServer(row, service, cutoffQueryOf(iteration));
  }

  function cutoffQueryOf({ row, held, service }: Iteration) {
    const { renewer, takenAt, otherRenewer } = held;
    const { lease } = service;
    const mayHaveUnrecordedMoves = roles.mayHaveUnrecordedMoves();
    return {
      server: serverId,
      row: row.value,
      lease,
      renewer,
      takenAt,
      otherRenewer,
      mayHaveUnrecordedMoves,
    };
  }

  /** One unanswered renewal is not enough: it may have timed out because this router stalled. */
  function countsAsLost({ held, service }: Pick<Iteration, 'held' | 'service'>): boolean {
    if (held.renewer.unanswered() < LOST_AFTER_UNANSWERED_RENEWALS) return false;
    return (
      monotonicMs() - held.renewer.lastAnswerAt() > service.lease.leaseMs * LOST_AFTER_LEASE_SHARE
    );
  }

  /** Writes a standby that has taken over into the row as the acting keeper. */
  function promoteSelf({ row, held, server }: Iteration): void {
    if (!held.renewer.hasFenced(row.value.serverStart)) return;
    rowWriter.write(row, promoteStandby(ctx, server, row.value, held.role));
  }

  function needsNewRoles(iteration: Iteration): boolean {
    if (countsAsLost(iteration)) return false;
    if (recovery.needsNewEpochs()) return true;
    const { standby } = iteration.row.value;
    if (standby === undefined) return ctx.membership.live().length > 1;
    const silentMs = ctx.membership.silentForMs(standby.router, standby.incarnation);
    return silentMs > REPLACE_STANDBY_AFTER_MS;
  }

  function startSuccessorUpdate({ row, service }: Iteration): void {
    const isDue = monotonicMs() >= nextSuccessorCheckAt;
    if (!isDue || successorUpdate !== undefined || !ctx.isTableUp()) return;
    nextSuccessorCheckAt = monotonicMs() + SUCCESSOR_CHECK_INTERVAL_MS;
    successorUpdate = recordInheritedMoves(ctx, service, serverId, row, signal)
      .then(() => updateSuccessors(ctx, service, serverId, row, signal))
      .finally(() => {
        successorUpdate = undefined;
      });
  }

  /** The role held now, with its row and service. */
  function current(): Pick<Iteration, 'held' | 'service' | 'row'> | undefined {
    const row = ctx.map.keeper(serverId);
    const service = ctx.map.server(serverId)?.service;
    const held = row && roles.current(row.value);
    return row && held && service && { row, held, service };
  }

  function isRenewing(): boolean {
    const state = current();
    if (state === undefined || countsAsLost(state)) return false;
    return state.held.renewer.hasFenced(state.row.value.serverStart);
  }

  return {
    isRenewing,
    isUnreachable() {
      const state = current();
      return state !== undefined && countsAsLost(state);
    },
    isDisabledStandby() {
      const row = ctx.map.keeper(serverId)?.value;
      return row !== undefined && roles.isDisabledStandby(row);
    },
    standDown() {
      if (rowWriter.isWriting()) return { accepted: false, hasActed: true };
      return roles.standDown();
    },
    async moveAway(orders, reason) {
      if (!isRenewing() || roles.mayHaveUnrecordedMoves()) return err(new MoveError('replaced'));
      const onAdded = () => {
        wakeSignal.wake();
      };
      return releaseAndMove(ctx, serverId, releases, orders, reason, onAdded, signal);
    },
    async handOver(to) {
      const state = current();
      const server = ctx.map.server(serverId)?.server;
      if (state?.held.isActing !== true || server === undefined) return;
      const { row, service } = state;
      const targetId = to ?? row.value.standby?.router;
      const target = ctx.membership.live().find((it) => it.id === targetId);
      if (target === undefined) return;
      await rowWriter.handOver(row, assignRoles(ctx, service.name, server, target, row.value));
    },
    wake() {
      wakeSignal.wake();
    },
    async [Symbol.asyncDispose]() {
      stopping.abort();
      await done;
      await rowWriter.settled();
      await successorUpdate;
    },
  };
}
