import type { ServiceConfig } from '@boragepoint/config';
import { type KeeperRow, assignKey, keeperKey } from '@boragepoint/ownership';
import { err, ok } from 'neverthrow';

import { OperatorError, type OperatorOperations } from '../operators/index.js';
import type { RouterNode } from '../router-node.js';
import { storeUnavailable, unknownService } from './config-operations.js';

/** Time limit of an operator's write, including its retries. */
const WRITE_TIMEOUT_MS = 5_000;

type OwnershipOperations = Pick<OperatorOperations, 'owner' | 'move' | 'depose' | 'explain'>;

/** Creates the operations that concern owners and keepers. */
export function createOwnershipOperations(node: RouterNode): OwnershipOperations {
  const { map, rows, links, membership, writer } = node;

  function assignmentOf(service: ServiceConfig, key: string) {
    const shard = map.shardOf(service, key);
    return { shard, assignment: map.assignment(service.name, shard) };
  }

  /**
   * Returns the highest keeper epoch whose keepers an operator may declare gone. It is below the
   * epochs of live routers, which are never deposed.
   */
  function deposedEpoch({ acting, standby, nextEpoch }: KeeperRow): number {
    const roles = [acting, ...(standby ? [standby] : [])];
    const live = roles.filter((it) => membership.isLive(it.router, it.incarnation));
    return Math.min(nextEpoch, ...live.map((it) => it.epoch)) - 1;
  }

  return {
    owner({ service: name, key }) {
      const service = map.service(name);
      if (service === undefined) return Promise.resolve(err(unknownService(name)));
      const { shard, assignment } = assignmentOf(service, key);
      const row = assignment && map.keeper(assignment.owner)?.value;
      return Promise.resolve(
        ok({
          service: name,
          key,
          shard,
          pinned: shard >= service.shards,
          owner: assignment?.owner ?? null,
          epoch: assignment?.epoch ?? 0,
          successor: assignment?.successor === '' ? null : (assignment?.successor ?? null),
          keeper: row?.acting.router ?? null,
          standby: row?.standby?.router ?? null,
          heldBy: null,
        }),
      );
    },
    async move(req) {
      const service = map.service(req.service);
      if (service === undefined) return err(unknownService(req.service));
      if (!service.backendServers.some((it) => it.id === req.to)) {
        return err(new OperatorError('notFound', `${req.service} has no server ${req.to}`));
      }
      const shard = 'shard' in req ? req.shard : map.shardOf(service, req.key);
      const before = map.assignment(service.name, shard);
      if (before === undefined) return err(new OperatorError('notFound', `no shard ${shard}`));
      const order = { shard, epoch: before.epoch, to: req.to };
      const moved = await node.sendMoves(before.owner, [order], 'an operator moved it');
      const after = map.assignment(service.name, shard);
      if (!moved || after?.owner !== req.to) {
        return err(new OperatorError('moveRefused', 'the keeper of the owner did not move it'));
      }
      return ok({ shard, owner: after.owner, epoch: after.epoch });
    },
    async depose({ server }) {
      if (!(await writer.refresh([keeperKey(server)]))) return err(storeUnavailable());
      const row = rows.keeper(keeperKey(server));
      if (row === undefined) return err(new OperatorError('notFound', `${server} has no keeper`));
      const value = { ...row.value, deposedUpTo: deposedEpoch(row.value) };
      const change = { key: row.key, expectedVersion: row.version, value };
      const written = await writer.write([change], AbortSignal.timeout(WRITE_TIMEOUT_MS));
      links.announce();
      if (written.isErr()) {
        return err(new OperatorError('versionConflict', 'the keeper row has changed: try again'));
      }
      const { router, epoch } = value.acting;
      return ok({ server, keeper: router, keeperEpoch: epoch });
    },
    explain({ service: name, key }) {
      const service = map.service(name);
      if (service === undefined) return Promise.resolve(err(unknownService(name)));
      const { shard } = assignmentOf(service, key);
      const row = rows.assign(assignKey(name, shard))?.value;
      const moves = (row?.history ?? []).filter((it) => it.shard === shard).reverse();
      const history = moves.map((it) => ({
        epoch: it.epoch,
        owner: it.to,
        atMs: Date.parse(it.at),
        router: it.by,
        reason: it.reason,
      }));
      const oldest = moves.at(-1);
      const truncated =
        oldest === undefined ? (map.assignment(name, shard)?.epoch ?? 1) > 1 : false;
      return Promise.resolve(ok({ service: name, key, shard, history, truncated }));
    },
  };
}
