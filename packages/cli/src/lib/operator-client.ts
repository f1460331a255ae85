import {
  OPERATOR_PATHS,
  type BurnReport,
  type DeposeAnswer,
  type DeposeRequest,
  type DrainRequest,
  type EventKind,
  type EventsAnswer,
  type ExplainAnswer,
  type KeyQuery,
  type MoveAnswer,
  type MoveRequest,
  type OwnerAnswer,
  type PinRequest,
  type PutService,
  type QuarantineList,
  type ReleaseAnswer,
  type ReleaseRequest,
  type ServiceDocument,
  type ServiceList,
  type StatusAnswer,
  type WrittenVersion,
  burnReportSchema,
  deposeAnswerSchema,
  eventsAnswerSchema,
  explainAnswerSchema,
  moveAnswerSchema,
  ownerAnswerSchema,
  quarantineListSchema,
  releaseAnswerSchema,
  serviceDocumentSchema,
  serviceListSchema,
  statusAnswerSchema,
  writtenVersionSchema,
} from '@boragepoint/config';
import type { Result } from 'neverthrow';
import { Agent } from 'undici';
import type * as v from 'valibot';

import {
  type ApiRequest,
  type RouterAccess,
  readAnswer,
  sendToAll,
  sendToFirstAvailable,
} from './api-transport.js';
import type { CliError } from './cli-error.js';
import { type RouterAnswers, collectAnswers } from './router-answers.js';

/** Result of one call of the operators' API. */
export type CallResult<T> = Promise<Result<T, CliError>>;

/** Criteria for the events to list. */
export interface EventsFilter {
  /** Earliest time in milliseconds since 1970. */
  readonly sinceMs: number;
  readonly kind?: EventKind;
}

/**
 * Client of the operators' API. Calls try the routers in turn until one is available; data that
 * each router holds only about itself is collected from all of them.
 */
export interface OperatorClient extends AsyncDisposable {
  listServices(): CallResult<ServiceList>;
  getService(name: string): CallResult<ServiceDocument>;
  putService(put: PutService): CallResult<WrittenVersion>;
  status(): CallResult<StatusAnswer>;
  owner(query: KeyQuery): CallResult<OwnerAnswer>;
  drain(req: DrainRequest): CallResult<WrittenVersion>;
  move(req: MoveRequest): CallResult<MoveAnswer>;
  pin(req: PinRequest): CallResult<WrittenVersion>;
  depose(req: DeposeRequest): CallResult<DeposeAnswer>;
  explain(query: KeyQuery): CallResult<RouterAnswers<ExplainAnswer>>;
  events(filter: EventsFilter): CallResult<RouterAnswers<EventsAnswer>>;
  listQuarantine(): CallResult<QuarantineList>;
  releaseQuarantine(req: ReleaseRequest): CallResult<ReleaseAnswer>;
  burnReport(): CallResult<RouterAnswers<BurnReport>>;
}

/** Creates a client that calls the given routers. */
export function createOperatorClient(routers: RouterAccess): OperatorClient {
  const agent = new Agent();
  const paths = OPERATOR_PATHS;

  async function call<S extends v.GenericSchema>(
    schema: S,
    req: ApiRequest,
  ): CallResult<v.InferOutput<S>> {
    const answer = await sendToFirstAvailable(agent, routers, req);
    return answer.andThen((it) => readAnswer(it, schema));
  }
  function get<S extends v.GenericSchema>(
    schema: S,
    path: string,
    query: Record<string, string> = {},
  ): CallResult<v.InferOutput<S>> {
    return call(schema, { method: 'GET', path, query });
  }
  async function getFromAll<S extends v.GenericSchema>(
    schema: S,
    path: string,
    query: Record<string, string> = {},
  ): CallResult<RouterAnswers<v.InferOutput<S>>> {
    const answers = await sendToAll(agent, routers, { method: 'GET', path, query });
    return collectAnswers(answers, schema);
  }
  function post<S extends v.GenericSchema>(
    schema: S,
    path: string,
    body: object,
  ): CallResult<v.InferOutput<S>> {
    return call(schema, { method: 'POST', path, body });
  }
  const servicePath = (name: string) => `${paths.services}/${encodeURIComponent(name)}`;

  return {
    listServices: () => get(serviceListSchema, paths.services),
    getService: (name) => get(serviceDocumentSchema, servicePath(name)),
    putService: (put) =>
      call(writtenVersionSchema, { method: 'PUT', path: servicePath(put.config.name), body: put }),
    status: () => get(statusAnswerSchema, paths.status),
    owner: (query) => get(ownerAnswerSchema, paths.owner, query),
    drain: (req) => post(writtenVersionSchema, paths.drain, req),
    move: (req) => post(moveAnswerSchema, paths.move, req),
    pin: (req) => post(writtenVersionSchema, paths.pin, req),
    depose: (req) => post(deposeAnswerSchema, paths.depose, req),
    explain: (query) => getFromAll(explainAnswerSchema, paths.explain, query),
    events: ({ sinceMs, kind }) =>
      getFromAll(eventsAnswerSchema, paths.events, {
        since: String(sinceMs),
        ...(kind === undefined ? {} : { kind }),
      }),
    listQuarantine: () => get(quarantineListSchema, paths.quarantine),
    releaseQuarantine: ({ service, fingerprint }) =>
      call(releaseAnswerSchema, {
        method: 'DELETE',
        path: `${paths.quarantine}/${encodeURIComponent(fingerprint)}`,
        query: { service },
      }),
    burnReport: () => getFromAll(burnReportSchema, paths.burn),
    [Symbol.asyncDispose]: () => agent.destroy(),
  };
}
