import {
  type ProgressTimeout,
  OversizedBodyError,
  type RowDelta,
  type RowUpdate,
  type TableReport,
  type StoredRow,
  createProgressTimeout,
} from '@boragepoint/platform';
import {
  type FetchTablePart,
  PlacementService,
  type ReportRequestSchema,
  type TableUpdate,
} from '@boragepoint/protocol';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { type Client, ConnectError, createClient } from '@connectrpc/connect';
import { Http2SessionManager, createConnectTransport } from '@connectrpc/connect-node';

import type { AdmittedShares } from './overload.js';
import type { LeaderLeaseRecord } from './placement-record.js';
import type { PlacementView } from './placement-view.js';
import { type AgedRun, decodeRun, encodeRun } from './suspect-run.js';

/** Limits of a table's transfer between routers. */
const FETCH_LIMITS = { firstByteTimeoutMs: 1_000, progressTimeoutMs: 1_000 };
/** Largest answer of another router, and largest table that one sends in parts, in bytes. */
const MAX_ANSWER_BYTES = 16 << 20;
const MAX_TABLE_BYTES = 64 << 20;

/** A report to the leader. */
export type Report = MessageInitShape<typeof ReportRequestSchema>;

/** A leader's answer to a report. */
export interface ReportAnswer {
  /** False when that router does not lead; nothing else holds then. */
  readonly leads: boolean;
  /** The placement, or what changed in it. */
  readonly view: PlacementView | undefined;
  /** The view is the whole placement. */
  readonly isComplete: boolean;
  readonly routers: number;
  readonly suspects: readonly AgedRun[];
  /** Number of the leader's last change of suspect runs that the answer includes. */
  readonly knownSuspects: number;
  readonly admitted: AdmittedShares;
  /** The leader's tenure is over without the store's word: who reaches the store may take the seat. */
  readonly isLeaseExpired: boolean;
  /** Where some other routers answer. */
  readonly peers: readonly string[];
  /** The leader that a router follows which does not lead itself. */
  readonly leader: LeaderAddress | undefined;
  /** What the leader knows of the store's tables. */
  readonly tables: readonly TableAdvice[];
  /** What became of the service registry. */
  readonly servers: RowUpdate | undefined;
  /** Start of the answering process. */
  readonly startedMs: number;
}

/** What a router knows of a table of the store. */
export type TableAdvice = TableReport & { readonly table: string };

/** A leader as other routers name it. */
export type LeaderAddress = Pick<LeaderLeaseRecord, 'router' | 'address' | 'epoch'>;

/**
 * Answer of a former leader: `stopped` with the time until its unanswered grants have lapsed; `gone`, its
 * process is no more; `silent`, nothing is known.
 */
export type StepDownAnswer =
  | { readonly kind: 'stopped'; readonly unansweredForMs: number }
  | { readonly kind: 'gone' | 'silent' };

/** Suspect runs that one router tells another. */
export interface SuspectUpdate {
  readonly runs: readonly AgedRun[];
  /** Where the router answers that tells them. */
  readonly from: string;
}

/** Calls to other routers. */
export interface PlacementPeers extends Disposable {
  /** Returns `undefined` without a usable answer in time. */
  report(address: string, report: Report, timeoutMs: number): Promise<ReportAnswer | undefined>;
  requestStepDown(
    address: string,
    epoch: number,
    startedMs: number,
    timeoutMs: number,
  ): Promise<StepDownAnswer>;
  /** Tells suspect runs; returns the start of the process that was told, `undefined` without an answer in time. */
  shareSuspects(
    address: string,
    update: SuspectUpdate,
    timeoutMs: number,
  ): Promise<number | undefined>;
  /** What the router at an address knows of a table after a version; `undefined` without news. */
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

function decodeRowUpdate({ version, changed, removed }: TableUpdate): RowUpdate {
  const rows = changed.map((it) => ({
    key: it.key,
    version: Number(it.version),
    value: it.value,
  }));
  return { version: Number(version), changed: rows, removed };
}

/** Puts the parts of a table together. */
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
    // An empty piece counts, too: a table has an end.
    size += part.piece.length + part.key.length + 1;
    if (size > MAX_TABLE_BYTES) throw new OversizedBodyError('a table without end');
    if (!part.endsRow) continue;
    changed.push({ key: part.key, version: Number(part.rowVersion), value: Buffer.concat(pieces) });
    pieces = [];
  }
  return head && { version: Number(head.version), keys: head.keys, changed };
}

/** Creates the client for peers; it keeps one connection to each. */
export function createPlacementPeers(): PlacementPeers {
  const peers = new Map<string, Peer>();

  function peerAt(address: string): Peer {
    const known = peers.get(address);
    if (known) return known;
    const baseUrl = `http://${address}`;
    const sessions = new Http2SessionManager(baseUrl);
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      readMaxBytes: MAX_ANSWER_BYTES,
      sessionManager: sessions,
    });
    const peer = { rpc: createClient(PlacementService, transport), sessions };
    peers.set(address, peer);
    return peer;
  }

  /** A connection that failed once is not used again: it may be silent for good. */
  function disconnect(address: string): void {
    peers.get(address)?.sessions.abort();
    peers.delete(address);
  }

  return {
    async report(address, report, timeoutMs) {
      try {
        const res = await peerAt(address).rpc.report(report, { timeoutMs });
        const view: PlacementView | undefined = res.leads
          ? {
              epoch: Number(res.epoch),
              change: Number(res.change),
              services: new Map(
                res.services.map((it) => [
                  it.service,
                  it.ranges.map((range) => ({
                    first: range.first,
                    last: range.last,
                    owner: range.owner === '' ? undefined : range.owner,
                    granted: range.granted,
                  })),
                ]),
              ),
            }
          : undefined;
        const { leads, complete, routers } = res;
        const suspects = res.suspects.flatMap((it) => decodeRun(it) ?? []);
        const admitted = new Map(res.admitted.map(({ server, share }) => [server, share]));
        const leader = res.leader && {
          router: res.leader.router,
          address: res.leader.address,
          epoch: Number(res.leader.epoch),
        };
        return {
          leads,
          view,
          isComplete: complete,
          routers,
          suspects,
          knownSuspects: Number(res.knownSuspects),
          admitted,
          isLeaseExpired: res.tenureOver,
          peers: res.peers,
          leader,
          startedMs: Number(res.startedMs),
          servers: res.servers && decodeRowUpdate(res.servers),
          tables: res.tables.map((it) => ({ ...it, version: Number(it.version) })),
        };
      } catch {
        disconnect(address);
        return undefined;
      }
    },
    async requestStepDown(address, epoch, startedMs, timeoutMs) {
      const req = { epoch: BigInt(epoch), startedMs: BigInt(startedMs) };
      try {
        const res = await peerAt(address).rpc.yieldSeat(req, { timeoutMs });
        if (res.unansweredForMs === undefined) return { kind: 'gone' };
        return { kind: 'stopped', unansweredForMs: res.unansweredForMs };
      } catch (cause) {
        disconnect(address);
        return { kind: isConnectionRefused(cause) ? 'gone' : 'silent' };
      }
    },
    async shareSuspects(address, { runs, from }, timeoutMs) {
      try {
        const req = { suspects: runs.map(encodeRun), address: from };
        const res = await peerAt(address).rpc.shareSuspects(req, { timeoutMs });
        return Number(res.startedMs);
      } catch {
        return undefined;
      }
    },
    async rowsSince(address, table, knownVersion) {
      using timeout = createProgressTimeout(FETCH_LIMITS);
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
