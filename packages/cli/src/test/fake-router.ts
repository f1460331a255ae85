import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { PassThrough } from 'node:stream';

import {
  type ResultName,
  type RouterStatus,
  type ServiceDocument,
  errorBody,
  httpStatusOf,
  putServiceSchema,
} from '@boragepoint/config';
import { serve } from '@hono/node-server';
import { type Context, Hono } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import * as v from 'valibot';

import { type ExitCode, runBoragectl } from '../index.js';

export const TOKEN = 'correct-token';

/** Table of configurations; several fake routers can share one. */
export type FakeTable = Map<string, ServiceDocument>;

/** Behaviour of a fake router. */
export interface Behaviour {
  /** Other live and leaving routers that the status lists. */
  routers?: RouterStatus[];
  /** Awaited before the answer to a read is sent. */
  beforeRead?: () => Promise<void>;
  /** Number of writes that take effect but whose connection is closed instead of answered. */
  answersToLose?: number;
  /** Answers by method and path, such as `GET /v1/owner`, for requests other than configuration. */
  answers?: Record<string, unknown>;
}

export interface FakeRouter extends AsyncDisposable {
  readonly url: string;
}

function fail(c: Context, name: ResultName, details = {}): Response {
  const body = errorBody(name, `fake ${name}`, details);
  return c.json(body, httpStatusOf(body.code) as ContentfulStatusCode);
}

function createApp(table: FakeTable, behaviour: Behaviour): Hono<{ Bindings: Bindings }> {
  const app = new Hono<{ Bindings: Bindings }>();
  const versions = () =>
    [...table].map(([name, document]) => ({ name, version: document.version }));
  const self = { id: 'router-1', availabilityZone: 'cusco', region: 'sierra' };
  app.use(async (c, next) => {
    if (c.req.header('authorization') === `Bearer ${TOKEN}`) return next();
    return fail(c, 'unauthorized');
  });
  app.get('/v1/services', (c) => c.json({ services: versions() }));
  app.get('/v1/services/:name', async (c) => {
    const document = table.get(c.req.param('name'));
    await behaviour.beforeRead?.();
    return document === undefined ? fail(c, 'unknownService') : c.json(document);
  });
  app.put('/v1/services/:name', async (c) => {
    const put = v.parse(putServiceSchema, await c.req.json());
    const current = table.get(put.config.name);
    const currentVersion = current?.version ?? 0;
    if (put.expectedVersion !== currentVersion) {
      return fail(c, 'versionConflict', { currentVersion, writer: current?.writer });
    }
    const version = currentVersion + 1;
    table.set(put.config.name, { version, writer: put.writer, config: put.config });
    if ((behaviour.answersToLose ?? 0) > 0) {
      behaviour.answersToLose = (behaviour.answersToLose ?? 0) - 1;
      c.env.incoming.socket.destroy();
    }
    return c.json({ version });
  });
  app.get('/v1/status', (c) =>
    c.json({
      router: { ...self, ready: true, reasons: [] },
      services: versions(),
      routers: [
        { ...self, state: 'live', services: versions(), reportAgeMs: 0 },
        ...(behaviour.routers ?? []),
      ],
      keepers: [],
      servers: [],
    }),
  );
  app.all('*', (c) => {
    const answer = behaviour.answers?.[`${c.req.method} ${c.req.path}`];
    return answer === undefined ? fail(c, 'notFound') : c.json(answer as object);
  });
  return app;
}

interface Bindings {
  readonly incoming: { readonly socket: { destroy(): void } };
}

/** Starts a fake router on a free port. */
export async function startFakeRouter(
  table: FakeTable,
  behaviour: Behaviour = {},
): Promise<FakeRouter> {
  const app = createApp(table, behaviour);
  const server = serve({ fetch: app.fetch, hostname: '127.0.0.1', port: 0 }) as Server;
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    async [Symbol.asyncDispose]() {
      server.close();
      server.closeAllConnections();
      await once(server, 'close');
    },
  };
}

/** Exit code and output of one command line. */
export interface CliRun {
  readonly exitCode: ExitCode;
  readonly stdout: string;
  readonly stderr: string;
}

/** Environment of one command line. */
export interface CliSetup {
  readonly routers?: readonly string[];
  readonly token?: string;
  readonly input?: string;
}

/** Runs `boragectl` in this process. */
export async function runCli(argv: readonly string[], setup: CliSetup = {}): Promise<CliRun> {
  const directory = await mkdtemp(path.join(tmpdir(), 'boragectl-'));
  const tokenFile = path.join(directory, 'token');
  await writeFile(tokenFile, `${setup.token ?? TOKEN}\n`);
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  try {
    const exitCode = await runBoragectl(argv, {
      variables: {
        BORAGECTL_ROUTERS: (setup.routers ?? []).join(','),
        BORAGECTL_TOKEN_FILE: tokenFile,
      },
      stdout,
      stderr,
      readStandardInput: () => Promise.resolve(setup.input ?? ''),
    });
    return { exitCode, stdout: textIn(stdout), stderr: textIn(stderr) };
  } finally {
    await rm(directory, { recursive: true });
  }
}

function textIn(stream: PassThrough): string {
  const chunk = stream.read() as Buffer | null;
  return chunk?.toString('utf8') ?? '';
}
