import { type Http2Server, createServer } from 'node:http2';
import type { Socket } from 'node:net';

import type { PlacementMember } from '@boragepoint/placement';
import { PlacementService } from '@boragepoint/protocol';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';

/** Largest message that a peer may send. */
const MAX_MESSAGE_BYTES = 1 << 20;

/** Starts answering other routers. */
export async function createPeerListener(
  member: PlacementMember,
  host: string,
  port: number,
): Promise<AsyncDisposable> {
  const routes = (router: ConnectRouter) =>
    router.service(PlacementService, {
      report: (req) => member.answerReport(req),
      yieldSeat(req) {
        const unansweredForMs = member.answerYield(Number(req.epoch), Number(req.startedMs));
        return unansweredForMs === undefined ? {} : { unansweredForMs: Math.ceil(unansweredForMs) };
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
