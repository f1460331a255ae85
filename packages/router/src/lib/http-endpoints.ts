import { type Server, createServer } from 'node:http';

import type { IpEndpoint } from '@boragepoint/config';

import { listenWhenFree } from './listen-when-free.js';
import type { RouterLog } from './router-log.js';
import type { RouterMetrics } from './router-metrics.js';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Serves the platform's readiness check: whether this router may get new connections. */
export async function serveReadiness(
  isReady: () => boolean,
  { host, port }: IpEndpoint,
): Promise<Server> {
  const server = createServer((_req, res) => {
    res.writeHead(isReady() ? HTTP_OK : HTTP_UNAVAILABLE, { 'content-length': 0 });
    res.end();
  });
  await listenWhenFree(server, { host, port });
  return server;
}

/**
 * Serves metrics in the Prometheus text format; if the port is unavailable, the router runs without
 * them.
 */
export function serveMetrics(
  metrics: Pick<RouterMetrics, 'text'>,
  { host, port }: IpEndpoint,
  log: Pick<RouterLog, 'warn'>,
): Server {
  const server = createServer((_req, res) => {
    void metrics.text().then((text) => {
      res.writeHead(HTTP_OK, { 'content-type': 'text/plain; version=0.0.4' });
      res.end(text);
    });
  });
  listenWhenFree(server, { host, port }).catch((cause: unknown) => {
    log.warn('metrics not served', { reason: String(cause) });
  });
  return server;
}
