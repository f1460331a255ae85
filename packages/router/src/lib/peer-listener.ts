import { type Http2Server, createServer } from 'node:http2';
import type { Socket } from 'node:net';
import { Readable } from 'node:stream';

import {
  type PlacementMember,
  decodeNote,
  decodeRun,
  encodeKnownPlacement,
  encodeStoppedLeader,
} from '@boragepoint/placement';
import type { RowDelta } from '@boragepoint/platform';
import { PlacementService } from '@boragepoint/protocol';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';

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
}

/** Starts the RPC listener for other routers. */
export async function createPeerListener(
  { member, rowsSince }: PeerListenerContext,
  host: string,
  port: number,
): Promise<AsyncDisposable> {
  const routes = (router: ConnectRouter) =>
    router.service(PlacementService, {
      report: (req) => member.answerReport(req),
      yieldSeat(req) {
        const reply = member.answerStepDown(Number(req.epoch), Number(req.startedMs));
        if (!reply) return {};
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
        const runs = req.suspects.flatMap((it) => decodeRun(it) ?? []);
        await member.receiveSuspects({ runs, from: req.address });
        return { startedMs: BigInt(member.startedMs) };
      },
      requestPermits: (req) => member.answerPermits(req),
      fetchTable(req) {
        const delta = rowsSince(req.table, Number(req.knownVersion));
        return Readable.from(delta ? partsOf(delta) : []);
      },
    });
  const server: Http2Server = createServer(
    connectNodeAdapter({ routes, readMaxBytes: MAX_MESSAGE_BYTES }),
  );
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.on('session', (session) => {
    session.on('error', () => undefined);
  });
  server.on('sessionError', () => undefined);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
