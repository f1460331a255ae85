import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { IpEndpoint } from '@boragepoint/config';
import {
  type InputGate,
  bodyFramingOf,
  createInputGate,
  createParseTurns,
} from '@boragepoint/platform';

import { listenWhenFree } from './listen-when-free.js';
import type { RouterLog } from './router-log.js';
import type { ClientBudget } from './client-budget.js';
import { createHeadMemory } from './head-memory.js';
import type { RouterMetrics } from './router-metrics.js';

const HTTP_OK = 200;
const HTTP_FAILED = 500;
const HTTP_UNAVAILABLE = 503;
/** Time between two series of tries to serve metrics, in milliseconds. */
const METRICS_RETRY_MS = 5_000;

/** Time after which a connection without progress is closed, in milliseconds. */
const STALL_TIMEOUT_MS = 15_000;

/** Requests after which a connection is closed; its client opens another one. */
const MAX_REQUESTS_PER_CONNECTION = 100;

/** A connection to the readiness or metrics endpoint. */
interface EndpointConnection {
  openRequests: number;
  requests: number;
  /** The latest request that was read. */
  latest?: IncomingMessage;
  readonly gate: InputGate;
}

/** Has a server read one request of a connection at a time, and wait until it takes the answer. */
export function limitToOneRequest(server: Server, budget?: ClientBudget): void {
  const connections = new WeakMap<Socket, EndpointConnection>();
  const turns = createParseTurns();
  const heads = budget && createHeadMemory<Socket>(budget);
  server.setTimeout(STALL_TIMEOUT_MS);
  server.on('connection', (socket: Socket) => {
    const gate = createInputGate(socket, {
      mayParse() {
        const { openRequests = 0, requests = 0, latest } = connections.get(socket) ?? {};
        if (bodyFramingOf(latest)) return false;
        return openRequests === 0 && requests < MAX_REQUESTS_PER_CONNECTION;
      },
      mayReadAhead: () => false,
      turns,
      bodyFraming: () => bodyFramingOf(connections.get(socket)?.latest),
      onLines(lines) {
        if (heads?.note(socket, lines) === false) socket.destroy();
      },
      onHeld(difference) {
        budget?.add('input', difference);
      },
      receivedAt: () => performance.now(),
    });
    connections.set(socket, { openRequests: 0, requests: 0, gate });
    socket.once('close', () => heads?.end(socket));
  });
  // The HTTP server would answer an unknown expectation itself, and read its body without a bound.
  server.on('checkExpectation', (req, res) => {
    server.emit('request', req, res);
  });
  server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
    const connection = connections.get(req.socket);
    if (!connection) return;
    connection.openRequests += 1;
    connection.requests += 1;
    connection.latest = req;
    // Requests are answered at once.
    heads?.end(req.socket);
    // No body is read here; Node.js would parse the rest of it after the answer.
    const isLast = connection.requests === MAX_REQUESTS_PER_CONNECTION || bodyFramingOf(req);
    if (isLast) res.setHeader('connection', 'close');
    res.once('close', () => {
      connection.openRequests -= 1;
      connection.gate.update();
    });
  });
}

/** Closes a server with all its connections. */
export function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}

/** Serves the platform's readiness check: whether this router may get new connections. */
export async function serveReadiness(
  isReady: () => boolean,
  { host, port }: IpEndpoint,
  maxWaitMs?: number,
  budget?: ClientBudget,
): Promise<Server> {
  const server = createServer((_req, res) => {
    res.writeHead(isReady() ? HTTP_OK : HTTP_UNAVAILABLE, { 'content-length': 0 });
    res.end();
  });
  limitToOneRequest(server, budget);
  await listenWhenFree(server, { host, port }, maxWaitMs);
  return server;
}

/**
 * Serves metrics in the Prometheus text format. While their address can't be had, the router runs
 * without them and tries again.
 */
export function serveMetrics(
  metrics: Pick<RouterMetrics, 'text'>,
  { host, port }: IpEndpoint,
  log: Pick<RouterLog, 'info' | 'warn'>,
  budget?: ClientBudget,
): Disposable {
  const closed = new AbortController();
  const server = createServer((_req, res) => {
    metrics.text().then(
      (text) => {
        res.writeHead(HTTP_OK, { 'content-type': 'text/plain; version=0.0.4' });
        res.end(text);
      },
      (cause: unknown) => {
        log.warn('metrics not read', { reason: String(cause) });
        res.writeHead(HTTP_FAILED, { 'content-length': 0 });
        res.end();
      },
    );
  });

  limitToOneRequest(server, budget);

  async function listen(): Promise<void> {
    let isRetry = false;
    while (!closed.signal.aborted) {
      try {
        await listenWhenFree(server, { host, port });
        if (isRetry) log.info('metrics served at last');
        return;
      } catch (cause) {
        if (!isRetry) log.warn('metrics not served', { reason: String(cause) });
        isRetry = true;
      }
      await sleep(METRICS_RETRY_MS, undefined, { signal: closed.signal }).catch(() => undefined);
    }
  }

  server.unref();
  void listen();
  return {
    [Symbol.dispose]() {
      closed.abort();
      server.close();
    },
  };
}
