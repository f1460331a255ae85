import {
  OPERATOR_PATHS,
  deposeRequestSchema,
  drainRequestSchema,
  eventsQuerySchema,
  keyQuerySchema,
  moveRequestSchema,
  nameSchema,
  pinRequestSchema,
  releaseRequestSchema,
} from '@boragepoint/config';
import type { Context, Hono } from 'hono';
import { type Result, err } from 'neverthrow';

import { sendOutcome } from './operator-answer.js';
import type { OperatorError } from './operator-error.js';
import { checkInput, readBody, readPut } from './operator-input.js';
import type { OperatorOperations, Outcome } from './operator-operations.js';

/** Runs an operation on its checked input and sends the outcome; invalid input sends its error. */
async function answer<I>(
  c: Context,
  input: Result<I, OperatorError>,
  run: (input: I) => Outcome<object>,
): Promise<Response> {
  if (input.isErr()) return sendOutcome(c, err(input.error));
  return sendOutcome(c, await run(input.value));
}

/** Adds the routes that only read. @internal */
export function addReadRoutes(app: Hono, operations: OperatorOperations): void {
  const paths = OPERATOR_PATHS;
  app.get(paths.services, async (c) => sendOutcome(c, await operations.listServices()));
  app.get(`${paths.services}/:name`, (c) =>
    answer(c, checkInput(nameSchema, c.req.param('name')), (it) => operations.getService(it)),
  );
  app.get(paths.status, async (c) => sendOutcome(c, await operations.status()));
  app.get(paths.owner, (c) =>
    answer(c, checkInput(keyQuerySchema, c.req.query()), (it) => operations.owner(it)),
  );
  app.get(paths.explain, (c) =>
    answer(c, checkInput(keyQuerySchema, c.req.query()), (it) => operations.explain(it)),
  );
  app.get(paths.events, (c) =>
    answer(c, checkInput(eventsQuerySchema, c.req.query()), (it) => operations.events(it)),
  );
  app.get(paths.quarantine, async (c) => sendOutcome(c, await operations.listQuarantine()));
  app.get(paths.burn, async (c) => sendOutcome(c, await operations.burnReport()));
}

/** Adds the routes that change state. @internal */
export function addWriteRoutes(app: Hono, operations: OperatorOperations): void {
  const paths = OPERATOR_PATHS;
  app.put(`${paths.services}/:name`, async (c) =>
    answer(c, await readPut(c, c.req.param('name')), (it) => operations.putService(it)),
  );
  app.post(paths.drain, async (c) =>
    answer(c, await readBody(c, drainRequestSchema), (it) => operations.drain(it)),
  );
  app.post(paths.move, async (c) =>
    answer(c, await readBody(c, moveRequestSchema), (it) => operations.move(it)),
  );
  app.post(paths.pin, async (c) =>
    answer(c, await readBody(c, pinRequestSchema), (it) => operations.pin(it)),
  );
  app.post(paths.depose, async (c) =>
    answer(c, await readBody(c, deposeRequestSchema), (it) => operations.depose(it)),
  );
  app.delete(`${paths.quarantine}/:fingerprint`, (c) => {
    const target = { service: c.req.query('service'), fingerprint: c.req.param('fingerprint') };
    const input = checkInput(releaseRequestSchema, target);
    return answer(c, input, (it) => operations.releaseQuarantine(it));
  });
}
