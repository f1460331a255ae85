import type { BackendServer, ServiceConfig } from '@boragepoint/config';
import type { LeaseAnswer, ShardEpoch } from '@boragepoint/platform';
import { type Result, err } from 'neverthrow';

import type { StandDownAnswer } from './keeper-peers.js';
import { isOwnSeat, promoteStandby, takeSeats } from './keeper-seats.js';
import { type LeaseRenewer, type RenewOutcome, createLeaseRenewer } from './lease-renewer.js';
import type { MoveOrder } from './move-order.js';
import type { OwnershipContext } from './ownership-context.js';
import { createBell, monotonicMs } from './pause.js';
import { type ReleaseList, createReleaseList } from './release-list.js';
import type { HeldRow } from './row-store.js';
import { createServerRecovery } from './server-recovery.js';
import { MoveError, type ShardChange } from './shard-mover.js';
import { keepSuccessors } from './successor-upkeep.js';
import type { KeeperRow, KeeperSeat } from './table-rows.js';

/** Silence of the acting keeper after which its standby steps in, in milliseconds. */
const STEP_IN_AFTER_MS = 350;
/** Share of the lease after which an unanswered backend server counts as lost. */
const GIVE_UP_SHARE = 0.5;
/** Time without a standby's heartbeat after which another router takes its seat. */
const REPLACE_STANDBY_AFTER_MS = 1_000;
const MIN_RENEW_TIMEOUT_MS = 100;
/** Time between two checks of the stored successors. */
const SUCCESSORS_EVERY_MS = 1_000;

/** The task of a keeper or standby of one backend server. */
export interface KeeperSession extends AsyncDisposable {
  /** True while this router acts as the keeper and the backend server holds a live lease. */
  isActing(): boolean;
  /** True while renewals go unanswered or the server holds no lease. */
  isUnreachable(): boolean;
  /** Stands down from the seat that this router holds as the standby. */
  standDown(): StandDownAnswer;
  /** Releases shards at the backend server and records their new owners. */
  moveAway(orders: readonly MoveOrder[], reason: string): Promise<Result<void, MoveError>>;
  /** Gives the seat to the standby, for a graceful shutdown. */
  handOver(): Promise<void>;
  /** Ends the present pause, since rows have changed. */
  wake(): void;
}

/** Creates the task and starts it. It ends when it is disposed of. */
export function createKeeperSession(ctx: OwnershipContext, serverId: string): KeeperSession {
  const stopping = new AbortController();
  const bell = createBell();
  const releases: ReleaseList = createReleaseList();
  const recovery = createServerRecovery(ctx, serverId, () => upkeep !== undefined, stopping.signal);
  let renewer: LeaseRenewer | undefined;
  let seatedAt = monotonicMs();
  let actedVersion = 0;
  let stoodDownEpoch = 0;
  let steppedInEpoch = 0;
  let refusedEpoch = 0;
  let mayHaveMoved = false;
  let claim: Promise<unknown> | undefined;
  let upkeep: Promise<void> | undefined;
  let successorsDueAt = 0;
  const done = run();

  function target(): { service: ServiceConfig; server: BackendServer } | undefined {
    return ctx.map.server(serverId);
  }

  function ownSeat(row: KeeperRow): KeeperSeat | undefined {
    if (isOwnSeat(ctx, row.acting)) return row.acting;
    if (isOwnSeat(ctx, row.standby)) return row.standby;
    return undefined;
  }

  function isActingSeat(row: KeeperRow): boolean {
    return isOwnSeat(ctx, row.acting);
  }

  function withinTenure(service: ServiceConfig): boolean {
    return monotonicMs() < ctx.lastTableReadAt() + service.lease.tenureMs;
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      const row = ctx.map.keeper(serverId);
      const found = target();
      if (row !== undefined && found !== undefined) await turn(row, found.service, found.server);
      await bell.wait(found?.service.lease.renewEveryMs ?? STEP_IN_AFTER_MS, stopping.signal);
    }
  }

  async function turn(
    row: HeldRow<KeeperRow>,
    service: ServiceConfig,
    server: BackendServer,
  ): Promise<void> {
    const seat = ownSeat(row.value);
    if (seat === undefined || !mayAct(row.value, seat)) return;
    takeSeat(row, seat);
    if (isActingSeat(row.value)) actedVersion = row.version;
    if (!withinTenure(service)) return;
    await renewOnce(row, service, server);
    if (!isActingSeat(row.value)) claimSeat(row, server, seat);
    else if (needsStandby(row.value)) replaceStandby(row, server);
    else keepSuccessorsSometimes(row, service);
  }

  function keepSuccessorsSometimes(row: HeldRow<KeeperRow>, service: ServiceConfig): void {
    const isDue = monotonicMs() >= successorsDueAt;
    if (!isDue || upkeep !== undefined || !ctx.isTableUp()) return;
    successorsDueAt = monotonicMs() + SUCCESSORS_EVERY_MS;
    upkeep = keepSuccessors(ctx, service, serverId, row, stopping.signal).finally(() => {
      upkeep = undefined;
    });
  }

  function mayAct(row: KeeperRow, seat: KeeperSeat): boolean {
    if (refusedEpoch >= seat.epoch || stoodDownEpoch >= seat.epoch) return false;
    if (isActingSeat(row) || steppedInEpoch === seat.epoch) return true;
    return shouldStepIn(row, seat);
  }

  function shouldStepIn(row: KeeperRow, seat: KeeperSeat): boolean {
    const { router, incarnation } = row.acting;
    if (ctx.membership.silenceOf(router, incarnation) < STEP_IN_AFTER_MS) return false;
    steppedInEpoch = seat.epoch;
    ctx.journal.add('takeover', { server: serverId }, `the keeper ${router} is silent`);
    return true;
  }

  function takeSeat(row: HeldRow<KeeperRow>, seat: KeeperSeat): void {
    if (renewer?.keeperEpoch === seat.epoch) return;
    const wasKeeper = actedVersion + 1 === row.version;
    mayHaveMoved = isActingSeat(row.value) && !wasKeeper && seat.epoch > 1;
    renewer = createLeaseRenewer(ctx.lease, ctx.membership.self.id, seat.epoch, renewer);
    seatedAt = monotonicMs();
    ctx.journal.add('takeover', { server: serverId }, `keeper epoch ${seat.epoch}`);
  }

  function grantsFor(row: KeeperRow, service: ServiceConfig): ShardEpoch[] {
    if (renewer?.serverStart() !== row.serverStart || mayHaveMoved) return [];
    const owned = ctx.map.ownedBy(service.name, serverId);
    const kept = owned.filter((it) => !releases.has(it.shard, it.epoch));
    return kept.map(({ shard, epoch }) => ({ service: service.name, shard, epoch }));
  }

  async function renewOnce(
    row: HeldRow<KeeperRow>,
    service: ServiceConfig,
    server: BackendServer,
  ): Promise<void> {
    if (renewer === undefined) return;
    const { leaseMs, renewEveryMs } = service.lease;
    const outcome = await renewer.renew({
      address: server.address,
      leaseMs,
      timeoutMs: Math.max(MIN_RENEW_TIMEOUT_MS, renewEveryMs),
      grants: grantsFor(row.value, service),
      release: releases.list(service.name),
    });
    await settle(outcome, row, service);
  }

  async function settle(
    outcome: RenewOutcome,
    row: HeldRow<KeeperRow>,
    service: ServiceConfig,
  ): Promise<void> {
    switch (outcome.kind) {
      case 'renewed':
      case 'new-start':
        recovery.serverAnswered();
        releases.settle(outcome.answer);
        await meetServer(outcome.answer, row, service);
        if (outcome.kind === 'new-start') bell.ring();
        return;
      case 'replaced':
        noteReplaced(outcome.keeperEpoch);
        return;
      case 'no-answer':
        await considerLoss(row, service);
    }
  }

  function noteReplaced(keeperEpoch: number): void {
    refusedEpoch = renewer?.keeperEpoch ?? 0;
    ctx.journal.add('takeover', { server: serverId }, `keeper epoch ${keeperEpoch} is in place`);
    void ctx.writer.refresh([`keeper/${serverId}`]);
  }

  async function meetServer(
    answer: LeaseAnswer,
    row: HeldRow<KeeperRow>,
    service: ServiceConfig,
  ): Promise<void> {
    if (renewer === undefined || !isActingSeat(row.value)) return;
    if (answer.start !== row.value.serverStart) {
      const question = {
        server: serverId,
        row: row.value,
        lease: service.lease,
        renewer,
        seatedAt,
      };
      await recovery.adoptStart(row, service, answer.start, question);
    } else if (mayHaveMoved) {
      mayHaveMoved = !(await recovery.completeMoves(row, service, answer));
    }
  }

  async function considerLoss(row: HeldRow<KeeperRow>, service: ServiceConfig): Promise<void> {
    if (renewer === undefined || !isActingSeat(row.value)) return;
    const unanswered = monotonicMs() - renewer.lastAnswerAt();
    if (unanswered < service.lease.leaseMs * GIVE_UP_SHARE) return;
    const question = { server: serverId, row: row.value, lease: service.lease, renewer, seatedAt };
    await recovery.moveFromLostServer(row, service, question);
  }

  function claimSeat(row: HeldRow<KeeperRow>, server: BackendServer, seat: KeeperSeat): void {
    if (renewer?.isFenced(row.value.serverStart) !== true) return;
    writeSeats(row, promoteStandby(ctx, server, row.value, seat));
  }

  function needsStandby({ standby }: KeeperRow): boolean {
    if (isUnreachable()) return false;
    if (recovery.needsNewSeats()) return true;
    const others = ctx.membership.live().length > 1;
    if (standby === undefined) return others;
    return ctx.membership.silenceOf(standby.router, standby.incarnation) > REPLACE_STANDBY_AFTER_MS;
  }

  function replaceStandby(row: HeldRow<KeeperRow>, server: BackendServer): void {
    const seats = takeSeats(ctx, row.value.service, server, ctx.membership.self, row.value);
    writeSeats(row, seats);
  }

  function writeSeats(row: HeldRow<KeeperRow>, value: object): void {
    if (claim !== undefined || !ctx.isTableUp()) return;
    const change = { key: row.key, expectedVersion: row.version, value };
    claim = ctx.writer.write([change], stopping.signal).then(async (written) => {
      claim = undefined;
      if (written.isErr()) await ctx.writer.refresh([row.key]);
      else recovery.seatsWritten();
      ctx.peers.announce();
      bell.ring();
    });
  }

  function isUnreachable(): boolean {
    const found = target();
    if (renewer === undefined || found === undefined) return false;
    return monotonicMs() - renewer.lastAnswerAt() > found.service.lease.leaseMs * GIVE_UP_SHARE;
  }

  function isActing(): boolean {
    const row = ctx.map.keeper(serverId)?.value;
    const seat = row && ownSeat(row);
    if (seat === undefined || renewer?.keeperEpoch !== seat.epoch) return false;
    if (refusedEpoch >= seat.epoch || stoodDownEpoch >= seat.epoch) return false;
    return renewer.isFenced(row?.serverStart) && !isUnreachable();
  }

  async function moveAway(
    orders: readonly MoveOrder[],
    reason: string,
  ): Promise<Result<void, MoveError>> {
    const row = ctx.map.keeper(serverId);
    const found = target();
    if (row === undefined || found === undefined || !isActing()) {
      return err(new MoveError('replaced'));
    }
    const owned = ctx.map.ownedBy(found.service.name, serverId);
    const wanted = owned.flatMap((it) => {
      const order = orders.find((o) => o.shard === it.shard && o.epoch === it.epoch);
      const isFree = order !== undefined && !releases.has(it.shard, it.epoch);
      return isFree ? [{ assignment: it, to: order.to }] : [];
    });
    if (wanted.length === 0) return err(new MoveError('moved-before'));
    await releases.release(
      wanted.map((it) => it.assignment),
      () => {
        bell.ring();
      },
      stopping.signal,
    );
    const changes = wanted.map(({ assignment, to }): ShardChange => ({
      shard: assignment.shard,
      from: serverId,
      to,
      epoch: assignment.epoch + 2,
      successor: serverId,
      reason,
    }));
    const current = ctx.map.keeper(serverId) ?? row;
    const recorded = await ctx.mover.record(found.service.name, current, changes, stopping.signal);
    releases.forget(changes);
    if (recorded.isOk()) ctx.journal.add('move', { server: serverId }, reason);
    ctx.peers.announce();
    return recorded;
  }

  async function handOver(): Promise<void> {
    const row = ctx.map.keeper(serverId);
    const found = target();
    if (row === undefined || found === undefined || !isActingSeat(row.value)) return;
    const heir = ctx.membership.live().find((it) => it.id === row.value.standby?.router);
    if (heir === undefined) return;
    const seats = takeSeats(ctx, row.value.service, found.server, heir, row.value);
    const change = { key: row.key, expectedVersion: row.version, value: seats };
    await ctx.writer.write([change], stopping.signal);
    ctx.peers.announce();
  }

  return {
    isActing,
    isUnreachable,
    standDown() {
      const row = ctx.map.keeper(serverId)?.value;
      const seat = row && ownSeat(row);
      if (seat === undefined) return { accepted: true, hasActed: false };
      if (claim !== undefined || isOwnSeat(ctx, row?.acting)) {
        return { accepted: false, hasActed: true };
      }
      stoodDownEpoch = Math.max(stoodDownEpoch, seat.epoch);
      return { accepted: true, hasActed: steppedInEpoch >= seat.epoch };
    },
    moveAway,
    handOver,
    wake() {
      bell.ring();
    },
    async [Symbol.asyncDispose]() {
      stopping.abort();
      await done;
      await claim;
      await upkeep;
    },
  };
}
