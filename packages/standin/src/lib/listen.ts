import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import type { Env, Hono } from 'hono';

/** Hono environment in which handlers can access the Node.js request and response. */
export interface NodeEnv extends Env {
  Bindings: HttpBindings;
}

/** HTTP listener of a stand-in. */
export interface Listener extends AsyncDisposable {
  /** Address of the form `127.0.0.1:PORT`. */
  readonly address: string;
  readonly server: Server;
}

/** Longer than clients keep idle connections; else a close could race with a new request. */
const KEEP_ALIVE_MS = 120_000;
const LOOPBACK = '127.0.0.1';

/** Serves an app on the loopback address; port 0 takes a free port. */
export async function listen(app: Hono<NodeEnv>, port: number): Promise<Listener> {
  const server = createAdaptorServer({ fetch: app.fetch }) as Server;
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, resolve);
  });
  const { port: bound } = server.address() as AddressInfo;
  return {
    address: `${LOOPBACK}:${bound}`,
    server,
    async [Symbol.asyncDispose]() {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
