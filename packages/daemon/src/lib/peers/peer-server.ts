import { type Http2Server, createServer } from 'node:http2';
import type { AddressInfo, Socket } from 'node:net';

import { RESULT_CODES } from '@boragepoint/config';
import type { AssignmentMap, KeeperManager, RowStore } from '@boragepoint/ownership';
import { PeerService } from '@boragepoint/protocol';
import { type RequestRouter, refusal } from '@boragepoint/routing';
import type { ConnectRouter, ServiceImpl } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';

import type { Metrics } from '../metrics.js';
import { decodeRequest, encodeAnswer } from './forward-codec.js';
import type { PeerLinks } from './peer-links.js';
import { type PeerStateContext, describeSelf } from './peer-state.js';

/** Largest message accepted from a peer: a body of the maximum size, with headers. */
const MAX_MESSAGE_BYTES = 72 * 1_024 * 1_024;

/** Dependencies of the listener for peers. */
export interface PeerServerContext extends PeerStateContext {
  readonly rows: RowStore;
  readonly map: AssignmentMap;
  readonly links: PeerLinks;
  readonly keepers: KeeperManager;
  readonly router: RequestRouter;
  readonly metrics: Metrics;
}

function createPeerService(ctx: PeerServerContext): ServiceImpl<typeof PeerService> {
  const { membership, rows, links, keepers, metrics } = ctx;
  const sender = () => ({ id: membership.self.id, incarnation: membership.self.incarnation });
  const count = (method: string) => {
    metrics.peerCalls.inc({ method, direction: 'in' });
  };
  return {
    heartbeat(req) {
      count('heartbeat');
      links.receive(req.state);
      return { state: describeSelf(ctx) };
    },
    pushRows(req) {
      count('push-rows');
      for (const row of req.rows) rows.offer({ ...row, version: Number(row.version) });
      links.receive(req.state);
      return { sender: sender() };
    },
    fetchRows(req) {
      count('fetch-rows');
      const held = new Map(req.held.map((it) => [it.key, Number(it.version)]));
      const newer = rows.newerThan(held);
      return { rows: newer.map((it) => ({ ...it, version: BigInt(it.version) })) };
    },
    standDown(req) {
      count('stand-down');
      const requester = req.sender?.id ?? '';
      const answer = keepers.standDown(req.backendServer, requester, Number(req.actingEpoch));
      return { sender: sender(), ...answer };
    },
    async moveShards(req) {
      count('move-shards');
      const orders = req.moves.map((it) => ({ ...it, epoch: Number(it.epoch) }));
      const moved = await keepers.moveShards(req.backendServer, orders, req.reason);
      if (moved) return { code: 0, message: '' };
      return { code: RESULT_CODES.moveRefused, message: 'this router did not move the shards' };
    },
    async forward(req, { signal }) {
      count('forward');
      const routed = decodeRequest(ctx.map, req, signal);
      if (routed === undefined) {
        const message = 'this router does not know the service or rule yet';
        return encodeAnswer(req.requestId, refusal('unfinishedElsewhere', message));
      }
      return encodeAnswer(req.requestId, await ctx.router.handleForwarded(routed));
    },
  };
}

/** A listener for peers. */
export interface PeerServer extends AsyncDisposable {
  readonly port: number;
}

async function listen(server: Http2Server, host: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** Starts the listener for peers. */
export async function createPeerServer(
  ctx: PeerServerContext,
  host: string,
  port: number,
): Promise<PeerServer> {
  const routes = (router: ConnectRouter) => router.service(PeerService, createPeerService(ctx));
  const server = createServer(connectNodeAdapter({ routes, readMaxBytes: MAX_MESSAGE_BYTES }));
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.on('session', (session) => {
    session.on('error', () => undefined);
  });
  server.on('sessionError', () => undefined);
  const boundPort = await listen(server, host, port);
  return {
    port: boundPort,
    async [Symbol.asyncDispose]() {
      // A GOAWAY frame raises an unhandled error in an idle client, so the sockets are destroyed
      // without closing the HTTP/2 sessions.
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
