import { PROBE_PATHS } from '@boragepoint/config';
import type { Hono } from 'hono';
import type { Registry } from 'prom-client';

import { sendError } from './operator-answer.js';
import type { OperatorOperations } from './operator-operations.js';

/** Adds the routes that need no token: liveness, readiness and metrics. @internal */
export function addProbeRoutes(app: Hono, operations: OperatorOperations, metrics: Registry): void {
  app.get(PROBE_PATHS.live, (c) => c.json({ live: true }));
  app.get(PROBE_PATHS.ready, (c) => {
    const readiness = operations.readiness();
    if (readiness.ready) return c.json({ ready: true });
    return sendError(c, 'routerNotReady', readiness.reasons.join('; '));
  });
  app.get(PROBE_PATHS.metrics, async (c) =>
    c.body(await metrics.metrics(), { headers: { 'content-type': metrics.contentType } }),
  );
}
