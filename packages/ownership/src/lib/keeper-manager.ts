import { setMaxListeners } from 'node:events';

import type { BackendServer, ServiceConfig } from '@boragepoint/config';
import { createWakeSignal } from '@boragepoint/platform';

import type { StandDownAnswer } from './keeper-peers.js';
import { assignRoles, isOwnRole, rankKeepers } from './keeper-roles.js';
import { type KeeperSession, createKeeperSession } from './keeper-session.js';
import type { MoveOrder } from './move-order.js';
import type { OwnershipContext } from './ownership-context.js';
import { monotonicMs } from './pause.js';
import { maxTenureMs } from './renewal-cutoff.js';
import { type KeeperRole, type KeeperRow, keeperKey } from './table-rows.js';

/** Interval between checks of the keeper roles of all backend servers. */
const CHECK_INTERVAL_MS = 100;
/** Delay of a claim for each place in the ranking, so that the first router claims first. */
const CLAIM_DELAY_PER_RANK_MS = 400;
/** Delay of the first claims after the start, so that heartbeats of peers arrive first. */
const FIRST_CLAIM_DELAY_MS = 1_000;
/**
 * Delay of claims after an outage of the table. A router that was cut off can read the table before
 * it receives heartbeats again, and would take its peers for lost.
 */
const CLAIM_DELAY_AFTER_OUTAGE_MS = 500;

/** Interval between two handovers of a role to the router that ranks first for it. */
const ROLE_TRANSFER_INTERVAL_MS = 1_000;
/** Time for which a router must have been live before roles of live routers are handed to it. */
const MIN_LIVE_BEFORE_TRANSFER_MS = 5_000;

/** Runs the sessions of the backend servers of which this router is the keeper or the standby. */
export interface KeeperManager extends AsyncDisposable {
  session(server: string): KeeperSession | undefined;
  /** Backend servers that do not answer this router's renewals. */
  unreachable(): string[];
  /** Backend servers whose lease this router renews. */
  renewedServers(): string[];
  /** Answers the keeper that acts under the epoch and asks this router to stand down. */
  standDown(server: string, requester: string, actingEpoch: number): StandDownAnswer;
  /** Moves shards away from a backend server that this router keeps; false when it did not. */
  moveShards(server: string, orders: readonly MoveOrder[], reason: string): Promise<boolean>;
  /** Hands all roles over to their standbys, for a graceful shutdown. */
  handOverAll(): Promise<void>;
}

/** Creates the manager and starts its task. */
export function createKeeperManager(ctx: OwnershipContext): KeeperManager {
  const stopping = new AbortController();
  // Each pending claim adds a listener to this signal. 0 turns off Node's warning that many
  // listeners may be a leak.
  setMaxListeners(0, stopping.signal);
  const wakeSignal = createWakeSignal();
  const sessions = new Map<string, KeeperSession>();
  /** When the keeper roles of a backend server were first found vacant, on the monotonic clock. */
  const vacantSince = new Map<string, number>();
  /** Promises to stand down, by backend server; `until` is a time on the monotonic clock. */
  const standDownPromises = new Map<string, { readonly epoch: number; readonly until: number }>();
  const claiming = new Set<string>();
  /**
   * Keeper epochs, by backend server, that were claimed while the earlier keeper may not have known
   * this router. No lease is renewed under them for a tenure.
   */
  const unannouncedEpochs = new Map<string, number>();
  const startedAt = monotonicMs();
  let tableLastDownAt = -Infinity;
  let nextTransferAt = startedAt + MIN_LIVE_BEFORE_TRANSFER_MS;
  const subscription = ctx.map.onChange(wakeAll);
  const done = run();

  function wakeAll(): void {
    wakeSignal.wake();
    for (const session of sessions.values()) session.wake();
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      if (!ctx.isTableUp()) tableLastDownAt = monotonicMs();
      for (const service of ctx.map.services()) {
        for (const server of service.backendServers) checkServer(service, server);
      }
      transferOneRole();
      await wakeSignal.wait(CHECK_INTERVAL_MS, stopping.signal);
    }
  }

  /** Hands one role to the router that ranks first for it, so that roles spread after restarts. */
  function transferOneRole(): void {
    if (monotonicMs() < nextTransferAt || !ctx.isTableUp()) return;
    nextTransferAt = monotonicMs() + ROLE_TRANSFER_INTERVAL_MS;
    for (const [serverId, session] of sessions) {
      const target = session.isRenewing() ? transferTarget(serverId) : undefined;
      if (target === undefined) continue;
      void session.handOver(target);
      return;
    }
  }

  function transferTarget(serverId: string): string | undefined {
    const server = ctx.map.server(serverId)?.server;
    const first = server && rankKeepers(ctx, server)[0]?.id;
    const hasBeenLive =
      first !== undefined && ctx.membership.liveForMs(first) >= MIN_LIVE_BEFORE_TRANSFER_MS;
    return hasBeenLive ? first : undefined;
  }

  function checkServer(service: ServiceConfig, server: BackendServer): void {
    const row = ctx.map.keeper(server.id)?.value;
    const hasRole = isOwnRole(ctx, row?.acting) || isOwnRole(ctx, row?.standby);
    if (hasRole && !sessions.has(server.id)) {
      const isUnannouncedEpoch = (epoch: number) => unannouncedEpochs.get(server.id) === epoch;
      sessions.set(server.id, createKeeperSession(ctx, server.id, isUnannouncedEpoch));
    }
    if (isVacant(server.id, row)) claimWhenDue(service, server, row);
    else vacantSince.delete(server.id);
  }

  /**
   * True when no router can renew under the row; a standby that stood down or was refused can't.
   * Without a row, true once the heartbeats of the peers had time to arrive.
   */
  function isVacant(server: string, row: KeeperRow | undefined): boolean {
    if (row === undefined) return monotonicMs() > startedAt + FIRST_CLAIM_DELAY_MS;
    if (isLive(row.acting)) return false;
    return !isLive(row.standby) || sessions.get(server)?.isDisabledStandby() === true;
  }

  function isLive(role: KeeperRole | undefined): boolean {
    return role !== undefined && ctx.membership.isLive(role.router, role.incarnation);
  }

  function hasPromised(server: string, row: KeeperRow | undefined): boolean {
    const promise = standDownPromises.get(server);
    return promise?.epoch === row?.acting.epoch && monotonicMs() < (promise?.until ?? 0);
  }

  /**
   * True when the acting keeper may not know this router. It then does not ask this router for a
   * promise before it moves shards without a record.
   */
  function mayBeUnknownToKeeper(row: KeeperRow | undefined, service: ServiceConfig): boolean {
    if (row === undefined) return false;
    const { router, incarnation } = row.acting;
    return ctx.membership.silentForMs(router, incarnation) > service.lease.tenureMs;
  }

  function claimWhenDue(
    service: ServiceConfig,
    server: BackendServer,
    row: KeeperRow | undefined,
  ): void {
    const now = monotonicMs();
    const since = vacantSince.get(server.id) ?? now;
    vacantSince.set(server.id, since);
    const rank = rankKeepers(ctx, server).findIndex((it) => it.id === ctx.membership.self.id);
    if (rank < 0 || now < since + rank * CLAIM_DELAY_PER_RANK_MS) return;
    if (hasPromised(server.id, row) || now < tableLastDownAt + CLAIM_DELAY_AFTER_OUTAGE_MS) return;
    if (!claiming.has(server.id)) void claim(service, server);
  }

  async function claim(service: ServiceConfig, server: BackendServer): Promise<void> {
    claiming.add(server.id);
    const row = ctx.map.keeper(server.id);
    const value = assignRoles(ctx, service.name, server, ctx.membership.self, row?.value);
    if (mayBeUnknownToKeeper(row?.value, service))
      unannouncedEpochs.set(server.id, value.acting.epoch);
    const change = { key: keeperKey(server.id), expectedVersion: row?.version ?? 0, value };
    const written = await ctx.writer.write([change], stopping.signal);
    if (written.isErr()) await ctx.writer.refresh([change.key]);
    claiming.delete(server.id);
    ctx.peers.announce();
  }

  function standDown(server: string, requester: string, actingEpoch: number): StandDownAnswer {
    const refused = { accepted: false, hasActed: true };
    if (claiming.has(server)) return refused;
    const row = ctx.map.keeper(server)?.value;
    const known = row?.acting.epoch ?? 0;
    if (known > actingEpoch) return refused;
    if (known === actingEpoch && row?.acting.router !== requester) return refused;
    const answer = sessions.get(server)?.standDown() ?? { accepted: true, hasActed: false };
    const service = ctx.map.server(server)?.service;
    if (answer.accepted && service !== undefined) {
      const until = monotonicMs() + maxTenureMs(service.lease);
      standDownPromises.set(server, { epoch: actingEpoch, until });
    }
    return answer;
  }

  async function moveShards(
    server: string,
    orders: readonly MoveOrder[],
    reason: string,
  ): Promise<boolean> {
    const moved = await sessions.get(server)?.moveAway(orders, reason);
    return moved?.isOk() === true;
  }

  return {
    session: (server) => sessions.get(server),
    unreachable: () => [...sessions].filter(([, it]) => it.isUnreachable()).map(([id]) => id),
    renewedServers: () => [...sessions].filter(([, it]) => it.isRenewing()).map(([id]) => id),
    standDown,
    moveShards,
    async handOverAll() {
      await Promise.all([...sessions.values()].map((it) => it.handOver()));
    },
    async [Symbol.asyncDispose]() {
      stopping.abort();
      subscription[Symbol.dispose]();
      await done;
      await Promise.all([...sessions.values()].map((it) => it[Symbol.asyncDispose]()));
    },
  };
}
