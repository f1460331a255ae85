import { type IncomingMessage, type Server, createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { RESULT_CODES, type ResultName, httpStatusOf } from '@boragepoint/config';
import { createAdaptorServer } from '@hono/node-server';
import type { Env, Hono } from 'hono';

/** Time between two closings of idle connections while a listener drains. */
const IDLE_CLOSE_INTERVAL_MS = 20;

/** What the HTTP library hands to an app besides the request. */
interface NodeBindings {
  readonly incoming: IncomingMessage;
}

/** Limits of a listener. */
export interface ListenerLimits {
  readonly maxHeaderBytes: number;
  readonly maxConnections: number;
  readonly idleTimeoutMs: number;
}

/** A listener for HTTP. Disposing of it lets requests in flight finish. */
export interface HttpListener extends AsyncDisposable {
  readonly port: number;
  /** Asks callers, with each answer, to use no connection again. */
  announceClose(): void;
  /** Takes no new connections and closes idle ones; resolves when the last request is answered. */
  drain(): Promise<void>;
}

/** An IP address and a port. */
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
 * Runs an app on a request. An answer that comes before the whole request was received says that the
 * connection closes: the rest is never read, so that no further request on it would be answered.
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
    // Connections that are kept alive become idle one by one as their requests are answered.
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
