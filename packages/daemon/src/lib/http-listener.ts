import { type IncomingMessage, type Server, createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { RESULT_CODES, type ResultName, httpStatusOf } from '@boragepoint/config';
import { createAdaptorServer } from '@hono/node-server';
import type { Env, Hono } from 'hono';

/** Interval at which a draining listener closes idle connections. */
const IDLE_CLOSE_INTERVAL_MS = 20;

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
  const server = createAdaptorServer({
    fetch: (req, env) => answerRequest(app, req, env as NodeBindings),
    createServer,
    serverOptions: { maxHeaderSize: limits.maxHeaderBytes },
  }) as Server;
  server.maxConnections = limits.maxConnections;
  server.keepAliveTimeout = limits.idleTimeoutMs;
  server.on('clientError', rejectMalformedRequest);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });

  async function drain(): Promise<void> {
    const closed = new Promise((resolve) => server.close(resolve));
    server.closeIdleConnections();
    // Keep-alive connections become idle one by one, as their requests are answered.
    const closeTimer = setInterval(() => {
      server.closeIdleConnections();
    }, IDLE_CLOSE_INTERVAL_MS);
    await closed;
    clearInterval(closeTimer);
  }

  return {
    port: (server.address() as AddressInfo).port,
    announceClose() {
      server.prependListener('request', (_req, res) => {
        res.setHeader('connection', 'close');
      });
    },
    drain,
    async [Symbol.asyncDispose]() {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
