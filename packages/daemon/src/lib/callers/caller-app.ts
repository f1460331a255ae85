import type { IncomingMessage, ServerResponse } from 'node:http';

import {
  RESULT_CODES,
  type ServiceConfig,
  extractKey,
  familyOf,
  matchRule,
} from '@boragepoint/config';
import type { AssignmentMap } from '@boragepoint/ownership';
import {
  type HeaderLine,
  type RequestRouter,
  type RoutedAnswer,
  type RoutedRequest,
  refusal,
} from '@boragepoint/routing';
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { v7 as newRequestId } from 'uuid';

import type { BurnCounters } from '../burn/burn-counters.js';
import type { Metrics } from '../metrics.js';
import { refusalResponse, toResponse } from './caller-answer.js';

const SECOND_MS = 1_000;
const CALLER_HEADER = 'bp-caller';
/** A caller sets it to `true` when it sends a request again under the same Idempotency-Key. */
const REPEAT_HEADER = 'bp-repeat';
const IDEMPOTENCY_HEADER = 'idempotency-key';
const NO_RULE_LABEL = 'none';
const NO_BODY = new Uint8Array();

/** Dependencies of the callers' app. */
export interface CallerAppContext {
  readonly map: AssignmentMap;
  readonly router: RequestRouter;
  readonly metrics: Metrics;
  readonly burn: BurnCounters;
  readonly maxBodyBytes: number;
  /** Reasons why this router is not ready; empty when it is ready. */
  notReady(): string[];
}

interface Bindings {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

interface RequestTarget {
  readonly serviceName: string;
  readonly path: string;
  readonly query: string;
}

/** Splits a URL into the service's name and the path after it. */
function parseTarget(url: string): RequestTarget {
  const [pathname = '/', query = ''] = url.split('?', 2);
  const end = pathname.indexOf('/', 1);
  const serviceName = pathname.slice(1, end === -1 ? undefined : end);
  return { serviceName, path: end === -1 ? '/' : pathname.slice(end), query };
}

function headerLines(req: IncomingMessage): HeaderLine[] {
  return Object.entries(req.headersDistinct).flatMap(([name, values]) =>
    values === undefined ? [] : [{ name, value: values.join(', ') }],
  );
}

function matchRequest(
  service: ServiceConfig,
  req: IncomingMessage,
  target: RequestTarget,
): (RoutedAnswer & { kind: 'refused' }) | Pick<RoutedRequest, 'rule' | 'key'> {
  const rule = matchRule(service, req.method ?? '', target.path);
  if (rule === undefined) return refusal('noMatchingRule', 'no rule matches the method and path');
  const key = extractKey(service, {
    path: target.path,
    query: target.query,
    header: (name) => req.headersDistinct[name.toLowerCase()]?.[0],
  });
  if (key === undefined) return refusal('missingKey', 'the request carries no key');
  return { rule, key };
}

/** Creates the HTTP app that serves callers. */
export function createCallerApp(ctx: CallerAppContext): Hono<{ Bindings: Bindings }> {
  const app = new Hono<{ Bindings: Bindings }>();

  app.get('/livez', (c) => c.text('ok'));
  app.get('/readyz', (c) => {
    const reasons = ctx.notReady();
    return reasons.length === 0 ? c.text('ok') : c.json({ reasons }, 503);
  });
  const limitBody = bodyLimit({
    maxSize: ctx.maxBodyBytes,
    onError: () => refusalResponse(newRequestId(), 'bodyTooLarge', 'the body is too large'),
  });
  app.use((c, next) => (mayHaveBody(c.req.method) ? limitBody(c, next) : next()));
  app.all('*', async (c) => {
    const requestId = newRequestId();
    const startedAt = performance.now();
    const { incoming, outgoing } = c.env;
    const target = parseTarget(incoming.url ?? '/');
    const service = ctx.map.service(target.serviceName);
    if (service === undefined && ctx.notReady().length > 0) {
      const message = 'this router has no configuration yet: ask another';
      return refusalResponse(requestId, 'routerNotReady', message);
    }
    if (service === undefined) {
      const message = 'no such service: the path begins with its name';
      return refusalResponse(requestId, 'unknownService', message);
    }
    const matched = matchRequest(service, incoming, target);
    if ('kind' in matched) {
      ctx.metrics.requests.inc({
        service: service.name,
        rule: NO_RULE_LABEL,
        result: matched.result,
      });
      return toResponse(requestId, matched);
    }
    const body = mayHaveBody(c.req.method) ? new Uint8Array(await c.req.arrayBuffer()) : NO_BODY;
    const routed = await ctx.router.handle({
      requestId,
      service,
      ...matched,
      method: incoming.method ?? 'GET',
      path: target.query === '' ? target.path : `${target.path}?${target.query}`,
      headers: headerLines(incoming),
      body,
      caller: incoming.headersDistinct[CALLER_HEADER]?.[0] ?? incoming.socket.remoteAddress ?? '',
      idempotencyKey: incoming.headersDistinct[IDEMPOTENCY_HEADER]?.[0],
      isRepeat: incoming.headersDistinct[REPEAT_HEADER]?.[0] === 'true',
      deadlineAt: startedAt + matched.rule.deadlineMs,
      signal: disconnectSignal(outgoing),
    });
    recordOutcome(service, matched, routed, startedAt);
    return toResponse(requestId, routed);
  });

  function recordOutcome(
    service: ServiceConfig,
    { rule, key }: Pick<RoutedRequest, 'rule' | 'key'>,
    routed: RoutedAnswer,
    startedAt: number,
  ): void {
    const labels = { service: service.name, rule: rule.name };
    const result = routed.kind === 'answered' ? 'ok' : routed.result;
    const latencyMs = performance.now() - startedAt;
    ctx.metrics.requests.inc({ ...labels, result });
    ctx.metrics.latency.observe(labels, latencyMs / SECOND_MS);
    if (rule.objective === undefined || isCallerError(routed)) return;
    const server = ctx.map.place(service, key)?.server.id ?? '';
    ctx.burn.add({ ...labels, objective: rule.objective, latencyMs, result, key, server });
  }

  app.onError((cause, c) => {
    const requestId = newRequestId();
    const message = `the request could not be read: ${cause.message}`;
    return c.env.outgoing.destroyed
      ? new Response(null, { status: 400 })
      : refusalResponse(requestId, 'badRequest', message);
  });
  return app;
}

/** True for a refusal of a wrong request, which does not count against the error budget. */
function isCallerError(routed: RoutedAnswer): boolean {
  return routed.kind === 'refused' && familyOf(RESULT_CODES[routed.result]) === 'bad-request';
}

function mayHaveBody(method: string): boolean {
  return method !== 'GET' && method !== 'HEAD';
}

/** Returns a signal that aborts when the caller disconnects before its answer is complete. */
function disconnectSignal(outgoing: ServerResponse): AbortSignal {
  const controller = new AbortController();
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) controller.abort();
  });
  return controller.signal;
}
