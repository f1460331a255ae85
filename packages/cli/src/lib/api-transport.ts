import { errorBodySchema } from '@boragepoint/config';
import { type Result, err, ok } from 'neverthrow';
import { type Dispatcher, request } from 'undici';
import * as v from 'valibot';

import { CliError, EXIT_CODES, refusedError } from './cli-error.js';

const CALL_TIMEOUT_MS = 5_000;
const MIN_HTTP_ERROR_STATUS = 400;
const HTTP_SERVICE_UNAVAILABLE = 503;

/** One request of the operators' API. @internal */
export interface ApiRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly query?: Readonly<Record<string, string>>;
  readonly body?: object;
}

/** A router's answer with any HTTP status. @internal */
export interface ApiAnswer {
  /** Base URL of the router. */
  readonly router: string;
  readonly status: number;
  readonly text: string;
}

/** Addresses of the routers' operator listeners and the token for them. @internal */
export interface RouterAccess {
  /** Base URLs in the order in which they are tried. */
  readonly urls: readonly string[];
  readonly token: string;
}

function urlOf(router: string, req: ApiRequest): URL {
  const url = new URL(req.path, router);
  for (const [name, value] of Object.entries(req.query ?? {})) url.searchParams.set(name, value);
  return url;
}

async function sendTo(
  dispatcher: Dispatcher,
  router: string,
  token: string,
  req: ApiRequest,
): Promise<Result<ApiAnswer, string>> {
  try {
    const res = await request(urlOf(router, req), {
      dispatcher,
      method: req.method,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: req.body === undefined ? null : JSON.stringify(req.body),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    return ok({ router, status: res.statusCode, text: await res.body.text() });
  } catch (cause) {
    return err(`${router}: ${cause instanceof Error ? cause.message || cause.name : 'no answer'}`);
  }
}

/**
 * Sends a request to the routers in turn until one answers with a status other than 503. If all
 * answers have status 503, returns the first of them. @internal
 */
export async function sendToFirstAvailable(
  dispatcher: Dispatcher,
  routers: RouterAccess,
  req: ApiRequest,
): Promise<Result<ApiAnswer, CliError>> {
  const failures: string[] = [];
  let unavailable: ApiAnswer | undefined;
  for (const router of routers.urls) {
    const answer = await sendTo(dispatcher, router, routers.token, req);
    if (answer.isErr()) failures.push(answer.error);
    else if (answer.value.status !== HTTP_SERVICE_UNAVAILABLE) return ok(answer.value);
    else unavailable ??= answer.value;
  }
  if (unavailable !== undefined) return ok(unavailable);
  return err(new CliError(EXIT_CODES.unreachable, `no router answered: ${failures.join('; ')}`));
}

/** Sends a request to every router; returns the answer or the failure of each. @internal */
export function sendToAll(
  dispatcher: Dispatcher,
  routers: RouterAccess,
  req: ApiRequest,
): Promise<Result<ApiAnswer, string>[]> {
  const urls = [...new Set(routers.urls)];
  return Promise.all(urls.map((router) => sendTo(dispatcher, router, routers.token, req)));
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Checks an answer's body against a schema; for an error status, returns the error described in the
 * body. @internal
 */
export function readAnswer<S extends v.GenericSchema>(
  answer: ApiAnswer,
  schema: S,
): Result<v.InferOutput<S>, CliError> {
  const json = parseJson(answer.text);
  const received = `${answer.router} answered with status ${answer.status}`;
  if (answer.status >= MIN_HTTP_ERROR_STATUS) {
    const body = v.safeParse(errorBodySchema, json);
    if (body.success) return err(refusedError(body.output));
    return err(
      new CliError(
        EXIT_CODES.failed,
        `${received} and a body that is not an error of the operators' API`,
      ),
    );
  }
  const parsed = v.safeParse(schema, json);
  if (parsed.success) return ok(parsed.output);
  const issue = parsed.issues[0].message;
  return err(new CliError(EXIT_CODES.failed, `${received} and an unexpected body: ${issue}`));
}
