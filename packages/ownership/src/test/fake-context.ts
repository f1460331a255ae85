import { setTimeout as sleep } from 'node:timers/promises';

import { type ServiceConfigInput, serviceConfigSchema } from '@boragepoint/config';
import type { TableWrite } from '@boragepoint/platform';
import * as v from 'valibot';

import { createAssignmentMap } from '../lib/assignment-map.js';
import { createJournal } from '../lib/journal.js';
import type { KeeperPeers, StandDownAnswer } from '../lib/keeper-peers.js';
import { type KeeperSession, createKeeperSession } from '../lib/keeper-session.js';
import { createKeyHasher } from '../lib/key-hash.js';
import { type RouterInstance, createMembership } from '../lib/membership.js';
import type { OwnershipContext } from '../lib/ownership-context.js';
import { monotonicMs } from '../lib/pause.js';
import { createRowStore } from '../lib/row-store.js';
import { createRowWriter } from '../lib/row-writer.js';
import { createShardMover } from '../lib/shard-mover.js';
import { type Assignment, type AssignRow, type KeeperRow, keeperKey } from '../lib/table-rows.js';
import { FakeServer, createFakeLeaseClient } from './fake-server.js';
import { FakeTable } from './fake-table.js';

export const LEASE = { leaseMs: 60, renewEveryMs: 10, tenureMs: 300 };
export const SHARDS = [0, 1, 2, 3];
/** Stored successor of each shard, as balancing would choose it. */
export const SUCCESSORS = ['s2', 's3', 's2', 's3'];
/** Epoch of all shards at the start of a test. */
export const FIRST_EPOCH = 4;
export const ASSIGN_KEY = 'assign/svc/0';
export const KEEPER_KEY = keeperKey('s1');

const WAIT_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 2;
const HEARTBEAT_INTERVAL_MS = 20;

/** Waits until the condition holds; fails after {@link WAIT_TIMEOUT_MS}. */
export async function waitUntil(description: string, condition: () => boolean): Promise<void> {
  const giveUpAt = monotonicMs() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (monotonicMs() > giveUpAt) throw new Error(`timed out; expected: ${description}`);
    await sleep(POLL_INTERVAL_MS);
  }
}

/** True when a transaction changes epochs of shards. */
export function isMove(writes: readonly TableWrite[]): boolean {
  const text = writes.find((it) => it.key === ASSIGN_KEY)?.value;
  const row = typeof text === 'string' ? (JSON.parse(text) as AssignRow) : undefined;
  return row?.shards.some((it) => it.epoch !== FIRST_EPOCH) === true;
}

export function routerOf(id: string): RouterInstance {
  const place = { availabilityZone: 'z3', region: 'r' };
  return { id, incarnation: `${id}-a`, ...place, leaving: false };
}

export function role(router: string, epoch: number) {
  return { router, incarnation: routerOf(router).incarnation, epoch };
}

function serviceOf(tenureMs: number) {
  const rule = {
    name: 'all',
    method: '*',
    path: '/**',
    idempotent: true,
    deadlineMs: 1_000,
  } as const;
  const backendServers = ['s1', 's2', 's3'].map((id, i) => ({
    id,
    address: `127.0.0.1:${i + 1}`,
    availabilityZone: `z${i + 1}`,
    region: 'r',
  }));
  const key = { from: 'header', name: 'key' } as const;
  const lease = { ...LEASE, tenureMs };
  const input: ServiceConfigInput = {
    name: 'svc',
    shards: 4,
    key,
    rules: [rule],
    backendServers,
    lease,
  };
  return v.parse(serviceConfigSchema, input);
}

/** Peers with settable answers. */
export class FakePeers implements KeeperPeers {
  /** Answer of the standby; `undefined` when it does not answer. */
  standby: StandDownAnswer | undefined = { accepted: true, hasActed: false };
  allPromise = false;
  standDownRounds = 0;

  standDown(): Promise<StandDownAnswer | undefined> {
    return Promise.resolve(this.standby);
  }

  standDownAll(): Promise<boolean> {
    this.standDownRounds += 1;
    return Promise.resolve(this.allPromise);
  }

  moveShards(): Promise<boolean> {
    return Promise.resolve(false);
  }

  announce(): void {
    // There are no peers to send rows to.
  }
}

export interface ScenarioOptions {
  /** Id of the router that runs the session. */
  readonly self?: string;
  readonly keeper: Omit<KeeperRow, 'writer' | 'service' | 'serverStart'>;
  readonly tenureMs?: number;
}

/**
 * One router with the session of backend server `s1`, which owns all shards. Their stored
 * successors are `s2` and `s3`.
 */
export class Scenario implements AsyncDisposable {
  /** Number of times that the session has read its keeper row. */
  keeperRowReads = 0;
  /** When each router sent its last heartbeat, on the monotonic clock. */
  readonly lastHeartbeatAt = new Map<string, number>();
  readonly #heartbeats = new Map<string, NodeJS.Timeout>();

  private constructor(
    readonly ctx: OwnershipContext,
    readonly table: FakeTable,
    readonly server: FakeServer,
    readonly peers: FakePeers,
  ) {}

  session!: KeeperSession;

  static async create({ self = 'r1', keeper, tenureMs }: ScenarioOptions): Promise<Scenario> {
    const [table, server, peers] = [new FakeTable(), new FakeServer(), new FakePeers()];
    const hasher = await createKeyHasher();
    const rows = createRowStore(hasher, (key, cause) => {
      throw new Error(`malformed row ${key}`, { cause });
    });
    const map = createAssignmentMap(rows, hasher);
    const writer = createRowWriter(table, rows);
    const serversByAddress = new Map([['127.0.0.1:1', server]]);
    let scenario: Scenario | undefined = undefined;
    let lastReadAt = monotonicMs();
    const lastTableReadAt = () => {
      if (table.mode !== 'down') lastReadAt = monotonicMs();
      return lastReadAt;
    };
    const ctx: OwnershipContext = {
      rows,
      map: {
        ...map,
        keeper(id) {
          if (scenario !== undefined) scenario.keeperRowReads += 1;
          return map.keeper(id);
        },
      },
      writer,
      mover: createShardMover(rows, writer, self),
      membership: createMembership(routerOf(self)),
      leaseClient: createFakeLeaseClient(serversByAddress),
      peers,
      journal: createJournal(self, () => undefined),
      hasher,
      lastTableReadAt,
      lastTableReadMs: () => 1,
      isTableUp: () => table.mode !== 'down',
      shardLoads: () => new Map(),
      serverVerdict: () => 'live',
      unreachableServers: () => new Set(),
    };
    scenario = new Scenario(ctx, table, server, peers);
    const shards = SUCCESSORS.map((successor, shard) => ({
      shard,
      owner: 's1',
      epoch: FIRST_EPOCH,
      successor,
    }));
    rows.offer(table.put('config/svc', { config: serviceOf(tenureMs ?? LEASE.tenureMs) }));
    rows.offer(table.put(ASSIGN_KEY, { shards, history: [] }));
    // Each change of roles is a new version of the row, so later roles need an earlier version.
    if (keeper.acting.epoch > 1) table.put(KEEPER_KEY, {});
    rows.offer(table.put(KEEPER_KEY, { service: 'svc', serverStart: 'start-1', ...keeper }));
    return scenario;
  }

  /** Starts the session. */
  run(): void {
    this.session = createKeeperSession(this.ctx, 's1', () => false);
  }

  /** Starts the session and waits until the backend server holds all shards. */
  async runUntilHeld(): Promise<void> {
    this.run();
    await waitUntil('all shards are held', () => this.server.held().length === SHARDS.length);
  }

  /** Lets a router send heartbeats until {@link stopHeartbeats}. */
  startHeartbeats(id: string): void {
    const sendHeartbeat = () => {
      this.lastHeartbeatAt.set(id, monotonicMs());
      this.ctx.membership.heardFrom(routerOf(id));
    };
    sendHeartbeat();
    this.#heartbeats.set(id, setInterval(sendHeartbeat, HEARTBEAT_INTERVAL_MS));
  }

  stopHeartbeats(id: string): void {
    clearInterval(this.#heartbeats.get(id));
  }

  /** Waits for several more iterations of the session, counted by reads of its keeper row. */
  async nextIterations(): Promise<void> {
    const target = this.keeperRowReads + 8;
    await waitUntil('the session runs more iterations', () => this.keeperRowReads >= target);
  }

  keeperRow(): KeeperRow {
    return JSON.parse(this.table.rows.get(KEEPER_KEY)?.value ?? '') as KeeperRow;
  }

  recorded(): Assignment[] {
    const row = JSON.parse(this.table.rows.get(ASSIGN_KEY)?.value ?? '') as AssignRow;
    return row.shards;
  }

  /** True when the table shows this epoch for all shards, and `s1` as their owner. */
  isRecordedAtOwner(epoch: number): boolean {
    return this.recorded().every((it) => it.owner === 's1' && it.epoch === epoch);
  }

  /** True when the table shows this epoch for all shards, and the stored successors as owners. */
  isRecordedAtSuccessors(epoch: number): boolean {
    const shards = this.recorded();
    return shards.every((it) => it.owner === SUCCESSORS[it.shard] && it.epoch === epoch);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const timer of this.#heartbeats.values()) clearInterval(timer);
    this.table.mode = 'up';
    await this.session[Symbol.asyncDispose]();
    this.ctx.membership[Symbol.dispose]();
  }
}
