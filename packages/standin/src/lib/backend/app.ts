import { createHash } from 'node:crypto';

import {
  ANSWER_HEADERS,
  HEALTH_PATH,
  LEASE_PATH,
  LOAD_PATH,
  leaseRequestSchema,
  type LoadReport,
} from '@boragepoint/platform';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import * as v from 'valibot';

import { monotonicMs, sleep } from '../clock.js';
import type { NodeEnv } from '../listen.js';
import { BACKEND_CONTROL_PATH, backendControlSchema, withoutFaults } from './control.js';
import { createEventLog } from './event-log.js';
import { LeaseHolder, type ShardRefusal } from './lease-holder.js';
import { readServerRequest, type ServerRequest } from './server-request.js';
import { WorkSlots } from './work-slots.js';
import { Worker, type WorkerSettings } from './worker.js';

type RequestContext = Context<NodeEnv>;

/** Settings of a stand-in backend server. */
export interface BackendSettings extends WorkerSettings {
  readonly slots: number;
  /** Default processing time of a request, in milliseconds. */
  readonly serviceMs: number;
  /** Path of the event log file; without it, no events are written. */
  readonly log: string | undefined;
}

/** The two HTTP apps of a stand-in backend server. */
export interface BackendApps {
  /** Handles requests from routers. */
  readonly service: Hono<NodeEnv>;
  /** Handles fault injection by tests. */
  readonly control: Hono<NodeEnv>;
}

const HTTP_CONFLICT = 409;
const HTTP_SERVICE_UNAVAILABLE = 503;
const OWNERSHIP_REASONS = new Set(['not-owner', 'stale-epoch']);

function abortOnClose(c: RequestContext): AbortSignal {
  const aborter = new AbortController();
  c.env.outgoing.once('close', () => {
    if (!c.env.outgoing.writableFinished) aborter.abort();
  });
  return aborter.signal;
}

/**
 * Creates the apps of a stand-in backend server.
 *
 * @param connections Returns the number of open connections.
 */
export function createBackendApps(
  settings: BackendSettings,
  connections: () => number,
): BackendApps {
  const log = createEventLog(settings.log);
  const faults = withoutFaults(settings.serviceMs);
  const slots = new WorkSlots(settings.slots);
  const lease = new LeaseHolder(settings.server, log);
  const worker = new Worker(settings, lease, slots, faults, log);
  let reported: { at: number; load: LoadReport } | undefined;

  function actualLoad(): LoadReport {
    return {
      running: slots.running,
      waiting: slots.waiting,
      connections: connections(),
      utilization: slots.utilization(),
    };
  }

  function reportedLoad(): LoadReport {
    const now = monotonicMs();
    if (reported === undefined || now - reported.at >= faults.loadLagMs) {
      reported = { at: now, load: actualLoad() };
    }
    return faults.load ?? reported.load;
  }

  function answerHeaders(requestId: string): Record<string, string> {
    return {
      [ANSWER_HEADERS.requestId]: requestId,
      [ANSWER_HEADERS.load]: String(slots.running + slots.waiting),
    };
  }

  function refuse(
    c: RequestContext,
    req: ServerRequest,
    { reason, epoch }: ShardRefusal,
  ): Response {
    const status = OWNERSHIP_REASONS.has(reason) ? HTTP_CONFLICT : HTTP_SERVICE_UNAVAILABLE;
    const headers = answerHeaders(req.requestId);
    headers[ANSWER_HEADERS.refusal] = reason;
    if (epoch !== undefined) headers[ANSWER_HEADERS.epoch] = String(epoch);
    return c.body(null, status, headers);
  }

  function sendTruncated(
    c: RequestContext,
    text: string,
    headers: Record<string, string>,
  ): Response {
    faults.cutNext -= 1;
    const res = c.env.outgoing;
    res.writeHead(200, { ...headers, 'content-length': Buffer.byteLength(text) });
    res.write(text.slice(0, text.length / 2), () => res.destroy());
    return RESPONSE_ALREADY_SENT;
  }

  async function answer(c: RequestContext, req: ServerRequest, body: Buffer, runs: number) {
    await sleep(faults.answerDelayMs);
    const headers = answerHeaders(req.requestId);
    headers['content-type'] = 'application/json';
    if (faults.mislabelNext > 0) {
      faults.mislabelNext -= 1;
      headers[ANSWER_HEADERS.requestId] = `not-${req.requestId}`;
    }
    const bodyHash = createHash('sha256').update(body).digest('hex');
    const text = JSON.stringify({ server: settings.server, path: req.key, bodyHash, runs });
    const padded = text.padEnd(req.answerBytes);
    return faults.cutNext > 0 ? sendTruncated(c, padded, headers) : c.body(padded, 200, headers);
  }

  const service = new Hono<NodeEnv>();
  service.use(async (_, next) => {
    if (faults.silent) await new Promise(() => undefined);
    await next();
  });
  service.post(LEASE_PATH, async (c) => {
    const req = v.parse(leaseRequestSchema, await c.req.json());
    return c.json(lease.renew(req));
  });
  service.get(HEALTH_PATH, (c) =>
    c.json(faults.health ?? { healthy: true, draining: faults.draining }),
  );
  service.get(LOAD_PATH, (c) => c.json(reportedLoad()));
  service.all('*', async (c) => {
    const signal = abortOnClose(c);
    const req = readServerRequest(c);
    const body = Buffer.from(await c.req.arrayBuffer());
    const outcome = await worker.handle(req, signal);
    if (outcome.kind === 'ran') return await answer(c, req, body, outcome.runs);
    if (outcome.kind === 'refused') return refuse(c, req, outcome.refusal);
    return RESPONSE_ALREADY_SENT;
  });

  const control = new Hono<NodeEnv>();
  control.post(BACKEND_CONTROL_PATH, async (c) => {
    Object.assign(faults, v.parse(backendControlSchema, await c.req.json()));
    return c.json({});
  });
  return { service, control };
}
