import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { Registry } from 'prom-client';

import { requireBearerToken } from './bearer-token.js';
import { sendError } from './operator-answer.js';
import type { OperatorOperations } from './operator-operations.js';
import { addReadRoutes, addWriteRoutes } from './operator-routes.js';
import { addProbeRoutes } from './probe-routes.js';

/** Largest body that an operator may send: one service with a few thousand backend servers. */
const MAX_BODY_BYTES = 4_194_304;
const API_PATHS = '/v1/*';

/** Options of the operators' API. */
export interface OperatorAppOptions {
  /** Token that operators must present; with an empty token, every request is unauthorized. */
  readonly token: string;
  readonly operations: OperatorOperations;
  /** Metrics that `/metrics` serves. */
  readonly metrics: Registry;
  /** Called with an unexpected exception; the answer has code 408 and no details. */
  readonly onUnexpected?: (cause: Error) => void;
}

/**
 * Creates the operators' HTTP API. It checks the bearer token and every input. Error answers have
 * the body {@link errorBodySchema}.
 */
export function createOperatorApp(options: OperatorAppOptions): Hono {
  const app = new Hono();
  addProbeRoutes(app, options.operations, options.metrics);
  app.use(API_PATHS, requireBearerToken(options.token));
  app.use(
    API_PATHS,
    bodyLimit({
      maxSize: MAX_BODY_BYTES,
      onError: (c) => sendError(c, 'bodyTooLarge', `the body is over ${MAX_BODY_BYTES} bytes`),
    }),
  );
  addReadRoutes(app, options.operations);
  addWriteRoutes(app, options.operations);
  app.notFound((c) => sendError(c, 'notFound', `no ${c.req.method} at ${c.req.path}`));
  app.onError((cause, c) => {
    options.onUnexpected?.(cause);
    return sendError(c, 'internalError', 'unexpected error; see the log of the router');
  });
  return app;
}
