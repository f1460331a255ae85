import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import { type AddressInfo, Server as NetServer, type Socket } from 'node:net';

import { RESULT_CODES, type ResultName, httpStatusOf } from '@boragepoint/config';
import { type CloseReason, createConnectionCloser } from '@boragepoint/platform';
import { createAdaptorServer } from '@hono/node-server';
import type { Env, Hono } from 'hono';

/** Values that the Node.js adapter passes to an app with the request. */
interface NodeBindings {
  readonly incoming: IncomingMessage;
}

/** Limits of a listener. */
export interface ListenerLimits {
  readonly maxHeaderBytes: number;
  readonly maxConnections: number;
  readonly idleTimeoutMs: number;
}

/** An HTTP listener. Disposing of it closes all connections, also those with requests in flight. */
export interface HttpListener extends AsyncDisposable {
  readonly port: number;
  /** From now on, sends `connection: close` with each answer. */
  announceClose(): void;
  /** Stops accepting connections and closes idle ones; resolves when all connections are closed. */
  drain(): Promise<void>;
}

/** Splits an address into its IP address and port. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

function rejectMalformedRequest(err: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || err.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const name: ResultName = err.code === 'HPE_HEADER_OVERFLOW' ? 'headersTooLarge' : 'badRequest';
  const code = RESULT_CODES[name];
  const body = JSON.stringify({ code, name, message: 'the request is not well formed' });
  const lines = [
    `HTTP/1.1 ${httpStatusOf(code)} Error`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `bp-result: ${code}`,
    'connection: close',
  ];
  socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`);
}

/**
 * Passes a request to an app. An answer that is sent before the whole request was received has
 * `connection: close`: the rest of the request is never read, so no further request on this
 * connection could be answered.
 */
async function answerRequest<E extends Env>(
  app: Hono<E>,
  req: Request,
  env: NodeBindings,
): Promise<Response> {
  const res = await app.fetch(req, env);
  if (!env.incoming.complete) res.headers.set('connection', 'close');
  return res;
}

/** Starts a listener that serves an app. */
export async function createHttpListener<E extends Env>(
  app: Hono<E>,
  address: string,
  limits: ListenerLimits,
): Promise<HttpListener> {
  const { host, port } = splitAddress(address);
  /** Requests that were read behind one whose answer closes the connection. */
  const notTaken = new WeakSet<IncomingMessage>();
  const server = createAdaptorServer({
    fetch(req, env) {
      const bindings = env as NodeBindings;
      // It gets no answer: an earlier one closes its connection.
      if (notTaken.has(bindings.incoming)) return new Promise<Response>(() => undefined);
      return answerRequest(app, req, bindings);
    },
    createServer,
    serverOptions: { maxHeaderSize: limits.maxHeaderBytes },
  }) as Server;
  server.maxConnections = limits.maxConnections;
  server.keepAliveTimeout = limits.idleTimeoutMs;
  server.on('clientError', rejectMalformedRequest);
  const closer = createConnectionCloser({
    now: () => performance.now(),
    onClosed: () => undefined,
  });
  const open = new Map<Socket, { answersDue: number; isLast: boolean }>();
  let closing = false;
  let draining = false;
  const closeIfIdle = (socket: Socket, reason: CloseReason) => {
    if (open.get(socket)?.answersDue === 0) closer.close(socket, reason);
  };
  server.on('connection', (socket: Socket) => {
    // The HTTP server calls this after an answer that closes the connection.
    socket.destroySoon = () => {
      closer.close(socket, 'last-answer');
    };
    open.set(socket, { answersDue: 0, isLast: false });
    socket.once('close', () => open.delete(socket));
  });
  server.on('timeout', (socket: Socket) => {
    closer.close(socket, 'idle-timeout');
  });
  server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
    const { socket } = req;
    const connection = open.get(socket);
    if (!connection) return;
    if (connection.isLast || closer.isClosing(socket)) {
      notTaken.add(req);
      closer.stopReading(socket);
      return;
    }
    if (closing) {
      connection.isLast = true;
      res.setHeader('connection', 'close');
    }
    connection.answersDue += 1;
    res.once('close', () => {
      connection.answersDue -= 1;
      closer.noteAnswer(socket);
      if (draining) closeIfIdle(socket, 'idle-at-stop');
    });
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });

  async function drain(): Promise<void> {
    draining = true;
    closer.liftNumberBound();
    // The HTTP server's own method destroys connections whose answers are not written yet.
    const closed = new Promise((resolve) => NetServer.prototype.close.call(server, resolve));
    for (const socket of open.keys()) closeIfIdle(socket, 'idle-at-stop');
    await closed;
  }

  return {
    port: (server.address() as AddressInfo).port,
    announceClose() {
      closing = true;
    },
    drain,
    async [Symbol.asyncDispose]() {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
