import type { BackendServer } from '@boragepoint/config';

import { rankCandidates } from './key-hash.js';
import type { RouterInstance } from './membership.js';
import type { OwnershipContext } from './ownership-context.js';
import type { KeeperRole, KeeperRow } from './table-rows.js';

/** Rank of a router by its location, as a keeper of the backend server; lower is better. */
function locationRank(server: BackendServer, router: RouterInstance): number {
  if (router.region !== server.region) return 2;
  return router.availabilityZone === server.availabilityZone ? 1 : 0;
}

/**
 * Orders the live routers as keepers of a backend server: routers of its region in another
 * availability zone first, so that the loss of one zone does not take a server and its keepers.
 */
export function rankKeepers(ctx: OwnershipContext, server: BackendServer): RouterInstance[] {
  const live = new Map(ctx.membership.live().map((it) => [it.id, it]));
  const ranked = rankCandidates(ctx.hasher, server.id, [...live.keys()]);
  const routers = ranked.flatMap((id) => live.get(id) ?? []);
  return routers.sort((a, b) => locationRank(server, a) - locationRank(server, b));
}

function roleOf(router: RouterInstance, epoch: number): KeeperRole {
  return { router: router.id, incarnation: router.incarnation, epoch };
}

/** A keeper row without its writer token. */
export type KeeperRowValue = Omit<KeeperRow, 'writer'>;

/**
 * Returns a keeper row with the given acting keeper and the first other router of the ranking as
 * its standby, both under new epochs.
 */
export function assignRoles(
  ctx: OwnershipContext,
  service: string,
  server: BackendServer,
  acting: RouterInstance,
  before: KeeperRow | undefined,
): KeeperRowValue {
  const epoch = before?.nextEpoch ?? 1;
  const standby = rankKeepers(ctx, server).find((it) => it.id !== acting.id);
  return {
    service,
    acting: roleOf(acting, epoch),
    standby: standby && roleOf(standby, epoch + 1),
    nextEpoch: epoch + 2,
    serverStart: before?.serverStart,
    deposedUpTo: before?.deposedUpTo,
  };
}

/**
 * Returns a keeper row that makes the standby the acting keeper under its epoch, with a new
 * standby.
 */
export function promoteStandby(
  ctx: OwnershipContext,
  server: BackendServer,
  row: KeeperRow,
  promoted: KeeperRole,
): KeeperRowValue {
  const next = rankKeepers(ctx, server).find((it) => it.id !== promoted.router);
  return {
    service: row.service,
    acting: promoted,
    standby: next && roleOf(next, row.nextEpoch),
    nextEpoch: row.nextEpoch + 1,
    serverStart: row.serverStart,
    deposedUpTo: row.deposedUpTo,
  };
}

/** True when the role belongs to this incarnation of this router. */
export function isOwnRole(ctx: OwnershipContext, role: KeeperRole | undefined): boolean {
  const { id, incarnation } = ctx.membership.self;
  return role?.router === id && role.incarnation === incarnation;
}
