import { isCallable } from '@boragepoint/config';
import {
  type OrderOutcome,
  type ProgressTimeout,
  OversizedBodyError,
  type RowDelta,
  type StoredRow,
  createProgressTimeout,
} from '@boragepoint/platform';
import { type FetchTablePart, PlacementService, type ReportResponse } from '@boragepoint/protocol';
import { type Client, ConnectError, createClient } from '@connectrpc/connect';
import { Http2SessionManager, createConnectTransport } from '@connectrpc/connect-node';

import type { ReceivedShares } from './admitted-shares.js';
import { type OnUnusable, decodeList } from './decode-list.js';
import { decodeLimit, encodeLimit } from './limit-exchange.js';
import type { FetchedPlacement } from './leader-messages.js';
import type { PermitsAnswer, PermitsAsk } from './permit-messages.js';
import {
  decodeAddress,
  decodeLeader,
  decodeReach,
  decodeRow,
  decodeRowUpdate,
  decodeTable,
  decodeView,
  encodeServices,
} from './peer-messages.js';
import { peerCompression } from './peer-compression.js';
import type { Report, ReportAnswer } from './report-messages.js';
import type { StepDownAnswer } from './step-down-answer.js';
import { decodeStoppedLeader } from './stopped-leader.js';
import type { ReachRequest } from './server-reach.js';
import { type SuspectUpdate, decodeRun, encodeRun } from './suspect-run.js';
import { requireCount } from './wire-number.js';
import type { NoteAnswer, PlacementNote } from './witnesses.js';

/** Timeouts of the transfer of a table between routers, in milliseconds. */
const FETCH_TIMEOUTS = { firstByteTimeoutMs: 1_000, progressTimeoutMs: 1_000 };
/** Time that a router gets beyond the time in which a server has to answer it, in milliseconds. */
const REACH_SLACK_MS = 300;
/** Largest message of another router, in bytes. */
const MAX_ANSWER_BYTES = 16 << 20;
/** Largest table that another router sends in parts, in bytes. */
const MAX_TABLE_BYTES = 64 << 20;

/** Client for calls to other routers. */
export interface PlacementPeers extends Disposable {
  /** Sends a report; resolves to `undefined` without a usable answer in time. */
  report(address: string, report: Report, timeoutMs: number): Promise<ReportAnswer | undefined>;
  /**
   * Fetches the newest placement that another router knows beyond the store's copy; resolves to
   * `undefined` if it knows none, or without an answer in time.
   */
  fetchPlacement(address: string, timeoutMs: number): Promise<FetchedPlacement | undefined>;
  /** Tells a router of the placement. */
  notePlacement(address: string, note: PlacementNote, timeoutMs: number): Promise<NoteAnswer>;
  /**
   * Asks a former leader to step down; `startedMs` names its process, 0 if it is not known.
   * `claimedEra` is the era of the store that the asking router wants to claim, if it does not hold
   * the leadership lease yet.
   */
  requestStepDown(
    address: string,
    epoch: number,
    startedMs: number,
    timeoutMs: number,
    claimedEra?: number,
  ): Promise<StepDownAnswer>;
  /**
   * Shares suspect runs; resolves to the start of the receiving process, `undefined` without an
   * answer in time.
   */
  shareSuspects(
    address: string,
    update: SuspectUpdate,
    timeoutMs: number,
  ): Promise<number | undefined>;
  /** Asks a leader for permits; resolves to `undefined` without an answer in time. */
  requestPermits(
    address: string,
    ask: PermitsAsk,
    timeoutMs: number,
  ): Promise<PermitsAnswer | undefined>;
  /**
   * Asks a router to reach a backend server; resolves to `unanswered` without an answer of it. The
   * router gets a little longer than the server does.
   */
  reachServer(address: string, req: ReachRequest): Promise<OrderOutcome>;
  /**
   * Fetches the rows that another router has of a table after a version; resolves to `undefined`
   * without an answer.
   */
  rowsSince(address: string, table: string, version: number): Promise<RowDelta | undefined>;
}

interface Peer {
  readonly rpc: Client<typeof PlacementService>;
  readonly sessions: Http2SessionManager;
}

function isConnectionRefused(cause: unknown): boolean {
  const reason = cause instanceof ConnectError ? cause.cause : cause;
  return reason instanceof Error && 'code' in reason && reason.code === 'ECONNREFUSED';
}

/** Assembles the parts of a table. */
async function readDelta(
  parts: AsyncIterable<FetchTablePart>,
  timeout: ProgressTimeout,
): Promise<RowDelta | undefined> {
  let head: FetchTablePart | undefined;
  let pieces: Uint8Array[] = [];
  let size = 0;
  const changed: StoredRow[] = [];
  for await (const part of parts) {
    timeout.progressed();
    if (!head) {
      head = part;
      continue;
    }
    pieces.push(part.piece);
    // The 1 counts empty pieces as well, so that a peer can't send parts without end.
    size += part.piece.length + part.key.length + 1;
    if (size > MAX_TABLE_BYTES) throw new OversizedBodyError('the table exceeds the size limit');
    if (!part.endsRow) continue;
    const row = decodeRow(part.key, part.rowVersion, Buffer.concat(pieces));
    if (row) changed.push(row);
    pieces = [];
  }
  return head && { version: requireCount(head.version), keys: head.keys, changed };
}

/** Decodes the admitted shares of an epoch's leader; shares out of range count as 1. */
function decodeAdmitted(res: ReportResponse, epoch: number): ReceivedShares {
  const usable = (share: number) => (share >= 0 && share <= 1 ? share : 1);
  return {
    epoch,
    shares: new Map(res.admitted.map(({ server, share }) => [server, usable(share)])),
    change: requireCount(res.knownAdmitted),
    isComplete: !res.admittedChanges,
  };
}

/**
 * Creates a client that keeps one connection to each router; `onUnusable` is called with each
 * answer of which a part can't be used.
 */
export function createPlacementPeers(onUnusable?: OnUnusable): PlacementPeers {
  const peers = new Map<string, Peer>();

  function peerAt(address: string): Peer {
    const known = peers.get(address);
    if (known) return known;
    if (!isCallable(address)) throw new RangeError(`${address} is no address to call`);
    const baseUrl = `http://${address}`;
    const sessions = new Http2SessionManager(baseUrl);
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      readMaxBytes: MAX_ANSWER_BYTES,
      sessionManager: sessions,
      acceptCompression: [peerCompression],
    });
    const peer = { rpc: createClient(PlacementService, transport), sessions };
    peers.set(address, peer);
    return peer;
  }

  /** Closes the connection to an address after a failed call, because it may never answer again. */
  function disconnect(address: string): void {
    peers.get(address)?.sessions.abort();
    peers.delete(address);
  }

  return {
    async report(address, report, timeoutMs) {
      const sentAt = performance.now();
      try {
        const res = await peerAt(address).rpc.report(report, { timeoutMs });
        const view = res.leads ? decodeView(res) : undefined;
        const { leads, complete, routers, position } = res;
        const decode = <W, T>(
          source: string,
          items: readonly W[],
          each: (it: W) => T | undefined,
        ) => decodeList(items, each, { source, from: address }, onUnusable);
        const suspects = decode('suspect runs', res.suspects, decodeRun);
        return {
          leads,
          view,
          isComplete: complete,
          routers,
          position,
          suspects,
          knownSuspects: requireCount(res.knownSuspects),
          limits: decode('limits', res.limits, decodeLimit),
          knownLimits: requireCount(res.knownLimits),
          admitted: view && decodeAdmitted(res, view.epoch),
          isLeaseExpired: res.tenureOver,
          peers: decode('router addresses', res.peers, decodeAddress),
          witnesses: decode('router addresses', res.witnesses, decodeAddress),
          leader: decode('leader', res.leader ? [res.leader] : [], decodeLeader)[0],
          startedMs: requireCount(res.startedMs),
          servers: decode('table update', res.servers ? [res.servers] : [], decodeRowUpdate)[0],
          tables: decode('table states', res.tables, (it) => decodeTable(it, sentAt)),
        };
      } catch {
        disconnect(address);
        return undefined;
      }
    },
    async fetchPlacement(address, timeoutMs) {
      try {
        const res = await peerAt(address).rpc.fetchPlacement({}, { timeoutMs });
        if (res.epoch === 0n) return undefined;
        return {
          view: decodeView(res),
          leader: res.leader && decodeLeader(res.leader),
          isWitness: res.witness,
          heardAgoMs: res.heardAgoMs,
        };
      } catch {
        return undefined;
      }
    },
    async notePlacement(address, { view, isComplete, after }, timeoutMs) {
      const req = {
        epoch: BigInt(view.epoch),
        change: BigInt(view.change),
        services: encodeServices(view.services),
        complete: isComplete,
        after: BigInt(after),
      };
      try {
        const res = await peerAt(address).rpc.notePlacement(req, { timeoutMs });
        return res.noted ? 'noted' : 'refused';
      } catch {
        return 'silent';
      }
    },
    async requestStepDown(address, epoch, startedMs, timeoutMs, claimedEra) {
      const req = {
        epoch: BigInt(epoch),
        startedMs: BigInt(startedMs),
        ...(claimedEra !== undefined && { claimedEra: BigInt(claimedEra) }),
      };
      try {
        const res = await peerAt(address).rpc.yieldSeat(req, { timeoutMs });
        const { unansweredForMs } = res;
        if (unansweredForMs === undefined) return { kind: 'gone' };
        const stopped = res.stopped && decodeStoppedLeader(res.stopped, unansweredForMs);
        return { kind: 'stopped', unansweredForMs, stopped };
      } catch (cause) {
        disconnect(address);
        return { kind: isConnectionRefused(cause) ? 'refused' : 'silent' };
      }
    },
    async shareSuspects(address, { runs, from }, timeoutMs) {
      try {
        const req = { suspects: runs.map(encodeRun), address: from };
        const res = await peerAt(address).rpc.shareSuspects(req, { timeoutMs });
        return requireCount(res.startedMs);
      } catch {
        return undefined;
      }
    },
    async requestPermits(address, ask, timeoutMs) {
      try {
        const req = {
          router: ask.router,
          address: ask.address,
          startedMs: BigInt(ask.startedMs),
          limits: ask.limits.map(encodeLimit),
          wanted: ask.wanted.map((it) => ({ ...it, servers: [...it.servers] })),
        };
        const res = await peerAt(address).rpc.requestPermits(req, { timeoutMs });
        return { leads: res.leads, startedMs: requireCount(res.startedMs), replies: res.replies };
      } catch {
        return undefined;
      }
    },
    async reachServer(address, { target, release, timeoutMs }) {
      const req = {
        server: target.serverId,
        address: target.address,
        timeoutMs,
        ...(release && { release: { ...release, fence: BigInt(release.fence) } }),
      };
      try {
        const limits = { timeoutMs: timeoutMs + REACH_SLACK_MS };
        return decodeReach(await peerAt(address).rpc.reachServer(req, limits));
      } catch {
        return { kind: 'unanswered' };
      }
    },
    async rowsSince(address, table, knownVersion) {
      using timeout = createProgressTimeout(FETCH_TIMEOUTS);
      const req = { table, knownVersion: BigInt(knownVersion) };
      try {
        return await readDelta(
          peerAt(address).rpc.fetchTable(req, { signal: timeout.signal }),
          timeout,
        );
      } catch {
        disconnect(address);
        return undefined;
      }
    },
    [Symbol.dispose]() {
      for (const address of [...peers.keys()]) disconnect(address);
    },
  };
}
