import type { BackendServer, ServiceConfig } from '@boragepoint/config';

import { type KeyHasher, shardOfHash } from './key-hash.js';
import type { RowStore, VersionedRow } from './row-store.js';
import {
  type Assignment,
  type KeeperRow,
  ROW_PREFIXES,
  assignKey,
  configKey,
  keeperKey,
} from './table-rows.js';

/**
 * A move that took effect before it was written to the table (rule 9 in DESIGN.md). The stored
 * successor, which becomes the owner, was authorised in the table beforehand.
 */
export interface UnrecordedMove {
  readonly service: string;
  readonly shard: number;
  readonly owner: string;
  readonly epoch: number;
}

/** Where requests for a key go: the assignment of its shard and the server that owns it. */
export interface Placement {
  readonly assignment: Assignment;
  readonly server: BackendServer;
}

/** Reads services, owners and keepers from the rows and the unrecorded moves. */
export interface AssignmentMap {
  services(): ServiceConfig[];
  service(name: string): ServiceConfig | undefined;
  /** Version of the service's configuration that is in force here; 0 when there is none. */
  configVersion(name: string): number;
  /** Backend server and its service by the server's id. */
  server(id: string): { service: ServiceConfig; server: BackendServer } | undefined;
  /** Hash of a key in hexadecimal. */
  keyHash(service: ServiceConfig, key: string): string;
  /** Shard of a key: its pin if it has one, else the shard of its hash. */
  shardOf(service: ServiceConfig, key: string): number;
  /** Assignment of a shard; `undefined` when none is known. */
  assignment(service: string, shard: number): Assignment | undefined;
  assignments(service: string): Assignment[];
  ownedBy(service: string, server: string): Assignment[];
  place(service: ServiceConfig, key: string): Placement | undefined;
  keeper(server: string): VersionedRow<KeeperRow> | undefined;
  /** Adds moves; true when at least one was new. */
  addUnrecorded(moves: readonly UnrecordedMove[]): boolean;
  /** Moves that the table does not show yet. */
  unrecorded(): UnrecordedMove[];
  onChange(listener: () => void): Disposable;
}

interface ServiceIndex {
  byShard: Map<number, Assignment>;
  byPinnedKey: Map<string, number>;
}

/** Creates the map over a row store. A change of assignments rebuilds the index of its service. */
export function createAssignmentMap(rows: RowStore, hasher: KeyHasher): AssignmentMap {
  const indexes = new Map<string, ServiceIndex>();
  const unrecorded = new Map<string, UnrecordedMove>();
  const servers = new Map<string, { service: ServiceConfig; server: BackendServer }>();
  const listeners = new Set<() => void>();

  rows.onChange((key) => {
    if (key.startsWith(ROW_PREFIXES.assign)) indexes.delete(serviceOf(key));
    if (key.startsWith(ROW_PREFIXES.config)) reindexServers();
    notify();
  });

  function notify(): void {
    for (const listener of [...listeners]) listener();
  }

  function serviceOf(assignRowKey: string): string {
    return assignRowKey.slice(ROW_PREFIXES.assign.length, assignRowKey.lastIndexOf('/'));
  }

  function services(): ServiceConfig[] {
    const configs = rows.keys(ROW_PREFIXES.config).map((key) => rows.config(key)?.value.config);
    return configs.filter((it) => it !== undefined);
  }

  function reindexServers(): void {
    servers.clear();
    for (const service of services()) {
      for (const server of service.backendServers) servers.set(server.id, { service, server });
    }
  }

  function moveId(service: string, shard: number): string {
    return `${service}/${shard}`;
  }

  function applyUnrecorded(service: string, recorded: Assignment): Assignment {
    const id = moveId(service, recorded.shard);
    const move = unrecorded.get(id);
    if (move === undefined) return recorded;
    if (move.epoch <= recorded.epoch) {
      unrecorded.delete(id);
      return recorded;
    }
    return { ...recorded, owner: move.owner, epoch: move.epoch, successor: '' };
  }

  function buildIndex(service: string): ServiceIndex {
    const index: ServiceIndex = { byShard: new Map(), byPinnedKey: new Map() };
    for (const key of rows.keys(`${ROW_PREFIXES.assign}${service}/`)) {
      for (const recorded of rows.assign(key)?.value.shards ?? []) {
        index.byShard.set(recorded.shard, applyUnrecorded(service, recorded));
        if (recorded.key !== undefined) index.byPinnedKey.set(recorded.key, recorded.shard);
      }
    }
    return index;
  }

  function indexOf(service: string): ServiceIndex {
    const known = indexes.get(service) ?? buildIndex(service);
    indexes.set(service, known);
    return known;
  }

  function shardOf(service: ServiceConfig, key: string): number {
    const pinned = indexOf(service.name).byPinnedKey.get(key);
    return pinned ?? shardOfHash(hasher.keyHash(service.name, key), service.shards);
  }

  function recordedEpoch(service: string, shard: number): number {
    const row = rows.assign(assignKey(service, shard))?.value;
    return row?.shards.find((it) => it.shard === shard)?.epoch ?? 0;
  }

  function addUnrecordedMove(move: UnrecordedMove): boolean {
    const id = moveId(move.service, move.shard);
    const known = unrecorded.get(id)?.epoch ?? recordedEpoch(move.service, move.shard);
    if (move.epoch <= known) return false;
    unrecorded.set(id, move);
    indexes.delete(move.service);
    return true;
  }

  return {
    services,
    service: (name) => rows.config(configKey(name))?.value.config,
    configVersion: (name) => rows.config(configKey(name))?.version ?? 0,
    server: (id) => servers.get(id),
    keyHash: (service, key) => hasher.keyHash(service.name, key).toString(16),
    shardOf,
    assignment: (service, shard) => indexOf(service).byShard.get(shard),
    assignments: (service) => [...indexOf(service).byShard.values()],
    ownedBy(service, server) {
      return [...indexOf(service).byShard.values()].filter((it) => it.owner === server);
    },
    place(service, key) {
      const assignment = indexOf(service.name).byShard.get(shardOf(service, key));
      if (assignment === undefined) return undefined;
      const server = servers.get(assignment.owner)?.server;
      return server && { assignment, server };
    },
    keeper: (server) => rows.keeper(keeperKey(server)),
    addUnrecorded(moves) {
      const added = moves.map(addUnrecordedMove).includes(true);
      if (added) notify();
      return added;
    },
    unrecorded: () => [...unrecorded.values()],
    onChange(listener) {
      listeners.add(listener);
      return {
        [Symbol.dispose]() {
          listeners.delete(listener);
        },
      };
    },
  };
}
