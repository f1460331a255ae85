import { type Http2Server, createServer } from 'node:http2';
import type { Socket } from 'node:net';
import { Readable } from 'node:stream';

import { isCallable } from '@boragepoint/config';
import {
  type PlacementMember,
  decodeNote,
  decodeReachRequest,
  decodeRun,
  encodeKnownPlacement,
  encodeReach,
  encodeStoppedLeader,
  peerCompression,
} from '@boragepoint/placement';
import type { RowDelta, UnusableEntry } from '@boragepoint/platform';
import { PlacementService, type ReportRequest } from '@boragepoint/protocol';
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';

import { listenWhenFree } from './listen-when-free.js';
import { isPlainReport, serveReport } from './report-endpoint.js';
import { partsOf } from './row-parts.js';

/** Largest message that a peer may send, in bytes. */
const MAX_MESSAGE_BYTES = 1 << 20;

/** Sources of the answers to other routers. */
export interface PeerListenerContext {
  readonly member: PlacementMember;
  /**
   * Changes of a table after a version; `undefined` if the store does not answer this router
   * either.
   */
  readonly rowsSince: (table: string, version: number) => RowDelta | undefined;
  /** Called with each message that can't be used. */
  readonly onUnusable?: (entry: UnusableEntry) => void;
}

/** Starts the RPC listener for other routers. */
export async function createPeerListener(
  { member, rowsSince, onUnusable }: PeerListenerContext,
  host: string,
  port: number,
): Promise<AsyncDisposable> {
  /** Refuses a message of a router that can't be called back. */
  function checkSender(source: string, { address }: { readonly address: string }): void {
    if (isCallable(address)) return;
    const reason = 'the address of the sender can not be called';
    onUnusable?.({ source, key: address, reason });
    throw new ConnectError(reason, Code.InvalidArgument);
  }

  async function answerReport(req: ReportRequest) {
    checkSender('report', req);
    return member.answerReport(req);
  }

  const routes = (router: ConnectRouter) =>
    router.service(PlacementService, {
      report: answerReport,
      yieldSeat(req) {
        const { epoch, startedMs, claimedEra } = req;
        const reply = member.answerStepDown({
          epoch: Number(epoch),
          startedMs: Number(startedMs),
          claimedEra: claimedEra === undefined ? undefined : Number(claimedEra),
        });
        if (reply === 'gone') return {};
        if (reply === 'refused')
          throw new ConnectError('this router leads', Code.FailedPrecondition);
        const { unansweredForMs, stopped } = reply;
        return {
          unansweredForMs: Math.ceil(unansweredForMs),
          ...(stopped && { stopped: encodeStoppedLeader(stopped) }),
        };
      },
      notePlacement: (req) => ({ noted: member.notePlacement(decodeNote(req)) }),
      fetchPlacement() {
        const known = member.knownPlacement();
        return known ? encodeKnownPlacement(known) : {};
      },
      async shareSuspects(req) {
        checkSender('suspect runs', req);
        const runs = req.suspects.flatMap((it) => decodeRun(it) ?? []);
        await member.receiveSuspects({ runs, from: req.address });
        return { startedMs: BigInt(member.startedMs) };
      },
      requestPermits(req) {
        checkSender('permits', req);
        return member.answerPermits(req);
      },
      reachServer: async (req) => encodeReach(await member.reachServer(decodeReachRequest(req))),
      fetchTable(req) {
        const delta = rowsSince(req.table, Number(req.knownVersion));
        return Readable.from(delta ? partsOf(delta) : []);
      },
    });
  const handle = connectNodeAdapter({
    routes,
    readMaxBytes: MAX_MESSAGE_BYTES,
    acceptCompression: [peerCompression],
  });
  const server: Http2Server = createServer((req, res) => {
    if (isPlainReport(req)) void serveReport(req, res, MAX_MESSAGE_BYTES, answerReport);
    else handle(req, res);
  });
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.on('session', (session) => {
    session.on('error', () => undefined);
  });
  server.on('sessionError', () => undefined);
  await listenWhenFree(server, { host, port });
  return {
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
