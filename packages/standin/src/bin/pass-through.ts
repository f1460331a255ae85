#!/usr/bin/env node
/** Forwards requests to backend servers in turn; the baseline for benchmarks of a router. */
import { cac } from 'cac';
import { Hono } from 'hono';
import { Pool } from 'undici';

import { listen, type NodeEnv } from '../lib/listen.js';

interface Options {
  readonly port: number;
  readonly to: string;
  readonly connections: number;
}

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = ['connection', 'host', 'transfer-encoding', 'keep-alive'];

function endToEndHeaders(headers: Headers): Record<string, string> {
  const passed = [...headers].filter(([name]) => !HOP_BY_HOP_HEADERS.includes(name));
  return Object.fromEntries(passed);
}

function createPassThrough({ to, connections }: Options): Hono<NodeEnv> {
  const pools = to.split(',').map((it) => new Pool(`http://${it}`, { connections }));
  const app = new Hono<NodeEnv>();
  let nextPool = 0;
  app.all('*', async (c) => {
    const pool = pools[(nextPool += 1) % pools.length];
    if (pool === undefined) return c.body(null, 503);
    const { pathname, search } = new URL(c.req.url);
    const hasBody = c.req.method !== 'GET' && c.req.method !== 'HEAD';
    const res = await pool.request({
      method: c.req.method,
      path: `${pathname}${search}`,
      headers: endToEndHeaders(c.req.raw.headers),
      body: hasBody ? Buffer.from(await c.req.arrayBuffer()) : null,
    });
    const body = await res.body.arrayBuffer();
    const headers = new Headers(res.headers as Record<string, string>);
    for (const name of HOP_BY_HOP_HEADERS) headers.delete(name);
    return new Response(body, { status: res.statusCode, headers });
  });
  return app;
}

const cli = cac('pass-through');
cli
  .command('', 'Forward requests to backend servers, listening on the loopback address')
  .option('--port <port>', 'TCP port; 0 selects a free one', { default: 0 })
  .option('--to <addresses>', 'Addresses of backend servers, separated by commas')
  .option('--connections <count>', 'Maximum number of connections to each server', { default: 32 })
  .action(async (options: Options) => {
    const listener = await listen(createPassThrough(options), options.port);
    console.log(JSON.stringify({ listening: listener.address }));
    process.once('SIGTERM', () => process.exit(0));
  });
cli.help();
cli.parse();
