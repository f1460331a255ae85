import {
  INSTANCES_PATH,
  OBJECTS_PATH,
  TABLE_PATHS,
  readRequestSchema,
  scanRequestSchema,
  transactRequestSchema,
  type TableWrite,
} from '@boragepoint/platform';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import { HTTPException } from 'hono/http-exception';
import * as v from 'valibot';

import { sleep } from '../clock.js';
import type { NodeEnv } from '../listen.js';
import { PLATFORM_CONTROL_PATH, platformControlSchema, type PlatformCounters } from './control.js';
import { PlatformFaults } from './faults.js';
import { createMemoryTable } from './memory-table.js';

type RequestContext = Context<NodeEnv>;

const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_SERVICE_UNAVAILABLE = 503;

function unavailable(reason: string): HTTPException {
  return new HTTPException(HTTP_SERVICE_UNAVAILABLE, { message: reason });
}

async function readJson<S extends v.GenericSchema>(
  c: RequestContext,
  schema: S,
): Promise<v.InferOutput<S>> {
  const parsed = v.safeParse(schema, await c.req.json());
  if (parsed.success) return parsed.output;
  throw new HTTPException(HTTP_BAD_REQUEST, {
    message: 'the body does not fit the schema',
  });
}

/** Creates the stand-in platform: table service, object store, instance list and control API. */
export function createPlatformApp(): Hono<NodeEnv> {
  const app = new Hono<NodeEnv>();
  const table = createMemoryTable();
  let restoreTable = table.takeCopy();
  const objects = new Map<string, Uint8Array>();
  const faults = new PlatformFaults();
  const counters: PlatformCounters = { reads: 0, writes: 0, refused: 0, bytesIn: 0, bytesOut: 0 };

  async function admit(kind: 'reads' | 'writes'): Promise<void> {
    if (faults.down === 'silent') await new Promise(() => undefined);
    const admitted = faults.down === 'no' && faults[kind].tryAcquire();
    if (!admitted) {
      counters.refused += 1;
      throw unavailable(faults.down === 'no' ? 'above the rate limit' : 'down');
    }
    counters[kind] += 1;
    await sleep(faults.slowMs);
  }

  function answerWrite(c: RequestContext, answer: () => Response): Response {
    if (!faults.shouldLoseAnswer()) return answer();
    c.env.outgoing.destroy();
    return RESPONSE_ALREADY_SENT;
  }

  app.use(async (c, next) => {
    counters.bytesIn += Number(c.req.header('content-length') ?? 0);
    await next();
  });
  app.post(TABLE_PATHS.read, async (c) => {
    const { keys } = await readJson(c, readRequestSchema);
    await admit('reads');
    return send(c, { rows: table.read(keys) });
  });
  app.post(TABLE_PATHS.scan, async (c) => {
    const { prefix } = await readJson(c, scanRequestSchema);
    await admit('reads');
    return send(c, { rows: table.scan(prefix) });
  });
  app.post(TABLE_PATHS.transact, async (c) => {
    const { writes } = await readJson(c, transactRequestSchema);
    await admit('writes');
    const outcome = table.transact(writes as TableWrite[]);
    return answerWrite(c, () => send(c, outcome));
  });
  app.put(`${OBJECTS_PATH}:key`, async (c) => {
    const body = new Uint8Array(await c.req.arrayBuffer());
    await admit('writes');
    objects.set(c.req.param('key'), body);
    return answerWrite(c, () => send(c, {}));
  });
  app.get(`${OBJECTS_PATH}:key`, async (c) => {
    await admit('reads');
    const body = objects.get(c.req.param('key'));
    if (body === undefined) return c.body(null, HTTP_NOT_FOUND);
    counters.bytesOut += body.byteLength;
    return c.body(new Uint8Array(body));
  });
  app.delete(`${OBJECTS_PATH}:key`, async (c) => {
    await admit('writes');
    const existed = objects.delete(c.req.param('key'));
    return answerWrite(c, () => (existed ? send(c, {}) : c.body(null, HTTP_NOT_FOUND)));
  });
  app.get(INSTANCES_PATH, async (c) => {
    await admit('reads');
    return send(c, faults.instances());
  });
  app.post(PLATFORM_CONTROL_PATH, async (c) => {
    const change = await readJson(c, platformControlSchema);
    faults.apply(change);
    if (change.table === 'take-copy') restoreTable = table.takeCopy();
    if (change.table === 'restore') restoreTable();
    return c.json({});
  });
  app.get(PLATFORM_CONTROL_PATH, (c) => c.json(counters));
  return app;

  function send(c: RequestContext, body: unknown): Response {
    const text = JSON.stringify(body);
    counters.bytesOut += text.length;
    return c.body(text, { headers: { 'content-type': 'application/json' } });
  }
}
