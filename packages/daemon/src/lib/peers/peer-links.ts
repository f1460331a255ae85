import { type KeeperPeers, type RowStore, monotonicMs, pause } from '@boragepoint/ownership';
import type { TableRow } from '@boragepoint/platform';
import type { PeerState } from '@boragepoint/protocol';
import type { QuarantineEntry } from '@boragepoint/routing';
import { Code, ConnectError } from '@connectrpc/connect';

import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import { type PeerClient, createPeerClient } from './peer-client.js';
import { type PeerStateContext, describeSelf, mergePeerState } from './peer-state.js';

/** Interval between heartbeats to a peer. */
const HEARTBEAT_INTERVAL_MS = 100;
/** Time limit of heartbeats and of calls that fetch or push rows. */
const CALL_TIMEOUT_MS = 300;
/** Time limit of a request to stand down. */
const STAND_DOWN_TIMEOUT_MS = 150;
/** Time limit of a request to move shards, which the peer carries out before it answers. */
const MOVE_TIMEOUT_MS = 30_000;
/** Time without a heartbeat from a peer after which both routers of a pair send heartbeats. */
const PEER_SILENCE_TIMEOUT_MS = 300;
/** Consecutive heartbeats that failed without a connection after which a peer counts as lost. */
const LOST_AFTER_FAILURES = 2;

/** Connections to all other routers. */
export interface PeerLinks extends KeeperPeers, AsyncDisposable {
  /** Merges the state that a peer sent with a call. */
  receive(state: PeerState | undefined): void;
  /** Returns the client of a peer; `undefined` when the peer is unknown. */
  client(router: string): PeerClient | undefined;
  /** Returns the latest state of each peer by its id. */
  states(): ReadonlyMap<string, PeerState>;
  /**
   * Sends this router's state to all live peers and waits until all calls have ended. The state
   * includes the newest quarantine entries, among them those given.
   */
  broadcastQuarantine(entries: readonly QuarantineEntry[]): Promise<void>;
}

/** Dependencies of the links. */
export interface PeerLinksContext extends PeerStateContext {
  readonly log: Log;
  readonly metrics: Metrics;
}

interface Link {
  readonly client: PeerClient;
  readonly stopping: AbortController;
  /** Consecutive heartbeats that failed without a connection. */
  failures: number;
  /** True while rows are being fetched from the peer. */
  fetching: boolean;
}

/** Creates the links and starts a task for each peer that the instance list names. */
export function createPeerLinks(ctx: PeerLinksContext): PeerLinks {
  const { membership, rows, metrics } = ctx;
  const links = new Map<string, Link>();
  const states = new Map<string, PeerState>();
  const stopping = new AbortController();
  const changedKeys = trackChangedKeys(rows);
  const done = followInstances();
  let sequence = 0n;

  async function followInstances(): Promise<void> {
    while (!stopping.signal.aborted) {
      const addresses = membership.peerAddresses();
      for (const [id, address] of addresses) openLink(id, address);
      for (const id of links.keys()) if (!addresses.has(id)) closeLink(id);
      await pause(HEARTBEAT_INTERVAL_MS, stopping.signal);
    }
  }

  function openLink(id: string, address: string): void {
    const known = links.get(id);
    if (known?.client.address === address) return;
    closeLink(id);
    const client = createPeerClient(address);
    const link = { client, stopping: new AbortController(), failures: 0, fetching: false };
    links.set(id, link);
    void runLink(id, link);
  }

  function closeLink(id: string): void {
    const link = links.get(id);
    if (link === undefined) return;
    links.delete(id);
    link.stopping.abort();
    link.client[Symbol.dispose]();
  }

  async function runLink(id: string, link: Link): Promise<void> {
    while (!link.stopping.signal.aborted) {
      const startedAt = monotonicMs();
      if (shouldSendHeartbeat(id)) await sendHeartbeat(id, link);
      const remainingMs = HEARTBEAT_INTERVAL_MS - (monotonicMs() - startedAt);
      await pause(Math.max(1, remainingMs), link.stopping.signal);
    }
  }

  /**
   * True when this router sends the heartbeats of the pair. The router with the lower id always
   * does; the other one does while it hears nothing from this peer.
   */
  function shouldSendHeartbeat(id: string): boolean {
    if (membership.self.id < id) return true;
    const incarnation = states.get(id)?.sender?.incarnation ?? '';
    return membership.silentForMs(id, incarnation) > PEER_SILENCE_TIMEOUT_MS;
  }

  async function sendHeartbeat(id: string, link: Link): Promise<void> {
    sequence += 1n;
    metrics.peerCalls.inc({ method: 'heartbeat', direction: 'out' });
    try {
      const req = { state: describeSelf(ctx), sequence };
      const res = await link.client.rpc.heartbeat(req, { timeoutMs: CALL_TIMEOUT_MS });
      link.failures = 0;
      receive(res.state);
    } catch (cause) {
      noteFailure(id, link, cause);
    }
  }

  function noteFailure(id: string, link: Link, cause: unknown): void {
    const isUnavailable = cause instanceof ConnectError && cause.code === Code.Unavailable;
    link.failures = isUnavailable ? link.failures + 1 : 0;
    if (link.failures >= LOST_AFTER_FAILURES) membership.connectionLost(id);
  }

  function receive(state: PeerState | undefined): void {
    const id = state?.sender?.id;
    if (state === undefined || id === undefined) return;
    states.set(id, state);
    mergePeerState(ctx, state);
    const link = links.get(id);
    if (link !== undefined && state.rowsDigest !== rows.digest()) void fetchRows(link);
  }

  async function fetchRows(link: Link): Promise<void> {
    if (link.fetching) return;
    link.fetching = true;
    metrics.peerCalls.inc({ method: 'fetch-rows', direction: 'out' });
    const { id, incarnation } = membership.self;
    const held = [...rows.versions()].map(([key, version]) => ({ key, version: BigInt(version) }));
    try {
      const req = { sender: { id, incarnation }, held };
      const res = await link.client.rpc.fetchRows(req, { timeoutMs: CALL_TIMEOUT_MS });
      for (const row of res.rows) rows.offer({ ...row, version: Number(row.version) });
    } catch (cause) {
      ctx.log.debug('rows could not be fetched from a peer', { cause });
    }
    link.fetching = false;
  }

  async function pushRowsTo(link: Link, pushed: readonly TableRow[]): Promise<void> {
    const req = {
      state: describeSelf(ctx),
      rows: pushed.map((it) => ({ ...it, version: BigInt(it.version) })),
    };
    metrics.peerCalls.inc({ method: 'push-rows', direction: 'out' });
    await link.client.rpc.pushRows(req, { timeoutMs: CALL_TIMEOUT_MS });
  }

  function announce(): void {
    const keys = changedKeys.take();
    const pushed = rows.newerThan(new Map()).filter((it) => keys.has(it.key));
    for (const link of links.values()) {
      pushRowsTo(link, pushed).catch((cause: unknown) => {
        ctx.log.debug('rows could not be pushed to a peer', { cause });
      });
    }
  }

  const standDown: KeeperPeers['standDown'] = async (standby, server, actingEpoch) => {
    const answer = await askToStandDown(standby.router, server, actingEpoch);
    return answer?.sender?.incarnation === standby.incarnation ? answer : undefined;
  };

  async function askToStandDown(router: string, server: string, actingEpoch: number) {
    const { id, incarnation } = membership.self;
    const req = {
      sender: { id, incarnation },
      backendServer: server,
      actingEpoch: BigInt(actingEpoch),
    };
    metrics.peerCalls.inc({ method: 'stand-down', direction: 'out' });
    const options = { timeoutMs: STAND_DOWN_TIMEOUT_MS };
    return links
      .get(router)
      ?.client.rpc.standDown(req, options)
      .catch(() => undefined);
  }

  return {
    receive,
    client: (router) => links.get(router)?.client,
    states: () => states,
    standDown,
    async standDownAll(server, actingEpoch, withinMs) {
      const routers = new Set([...links.keys(), ...membership.heardWithin(withinMs)]);
      const answers = [...routers].map((id) => askToStandDown(id, server, actingEpoch));
      return (await Promise.all(answers)).every((it) => it?.accepted === true);
    },
    async moveShards(keeper, server, orders, reason) {
      const { id, incarnation } = membership.self;
      const moves = orders.map((it) => ({ ...it, epoch: BigInt(it.epoch) }));
      const req = { sender: { id, incarnation }, backendServer: server, moves, reason };
      try {
        const res = await links
          .get(keeper)
          ?.client.rpc.moveShards(req, { timeoutMs: MOVE_TIMEOUT_MS });
        return res?.code === 0;
      } catch (cause) {
        ctx.log.warn('a keeper did not answer a request to move shards', { keeper, server, cause });
        return false;
      }
    },
    announce,
    async broadcastQuarantine() {
      const live = [...links].filter(([id]) => membership.isLive(id)).map(([, link]) => link);
      await Promise.allSettled(live.map((link) => pushRowsTo(link, [])));
    },
    async [Symbol.asyncDispose]() {
      stopping.abort();
      await done;
      for (const id of [...links.keys()]) closeLink(id);
    },
  };
}

/** Collects the keys of rows that changed since the last call of `take`. */
function trackChangedKeys(rows: RowStore): { take(): ReadonlySet<string> } {
  let keys = new Set<string>();
  rows.onChange((key) => keys.add(key));
  return {
    take() {
      const taken = keys;
      keys = new Set();
      return taken;
    },
  };
}
