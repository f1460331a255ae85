import { type Server, createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import type { IpEndpoint } from '@boragepoint/config';

import { listenWhenFree } from './listen-when-free.js';
import type { RouterLog } from './router-log.js';
import type { RouterMetrics } from './router-metrics.js';

const HTTP_OK = 200;
const HTTP_FAILED = 500;
const HTTP_UNAVAILABLE = 503;
/** Time between two series of tries to serve metrics, in milliseconds. */
const METRICS_RETRY_MS = 5_000;

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
): Promise<Server> {
  const server = createServer((_req, res) => {
    res.writeHead(isReady() ? HTTP_OK : HTTP_UNAVAILABLE, { 'content-length': 0 });
    res.end();
  });
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
