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
  type Routers,
  readAnswer,
  sendToAll,
  sendToFirst,
} from './api-transport.js';
import type { CliError } from './cli-error.js';
import { type Gathered, gather } from './gathered.js';

/** Outcome of one call. */
export type Call<T> = Promise<Result<T, CliError>>;

/** Which events to list. */
export interface EventsFilter {
  /** Earliest time in milliseconds since 1970. */
  readonly sinceMs: number;
  readonly kind?: EventKind;
}

/**
 * Client of the operators' API. It goes on to the next router when one is down; what each router
 * knows of itself alone is asked of all of them.
 */
export interface OperatorClient extends AsyncDisposable {
  listServices(): Call<ServiceList>;
  getService(name: string): Call<ServiceDocument>;
  putService(put: PutService): Call<WrittenVersion>;
  status(): Call<StatusAnswer>;
  owner(query: KeyQuery): Call<OwnerAnswer>;
  drain(req: DrainRequest): Call<WrittenVersion>;
  move(req: MoveRequest): Call<MoveAnswer>;
  pin(req: PinRequest): Call<WrittenVersion>;
  depose(req: DeposeRequest): Call<DeposeAnswer>;
  explain(query: KeyQuery): Call<Gathered<ExplainAnswer>>;
  events(filter: EventsFilter): Call<Gathered<EventsAnswer>>;
  listQuarantine(): Call<QuarantineList>;
  releaseQuarantine(req: ReleaseRequest): Call<ReleaseAnswer>;
  burnReport(): Call<Gathered<BurnReport>>;
}

/** Creates a client of the routers given. */
export function createOperatorClient(routers: Routers): OperatorClient {
  const agent = new Agent();
  const paths = OPERATOR_PATHS;

  async function call<S extends v.GenericSchema>(
    schema: S,
    req: ApiRequest,
  ): Call<v.InferOutput<S>> {
    const answer = await sendToFirst(agent, routers, req);
    return answer.andThen((it) => readAnswer(it, schema));
  }
  function get<S extends v.GenericSchema>(
    schema: S,
    path: string,
    query: Record<string, string> = {},
  ): Call<v.InferOutput<S>> {
    return call(schema, { method: 'GET', path, query });
  }
  async function getFromAll<S extends v.GenericSchema>(
    schema: S,
    path: string,
    query: Record<string, string> = {},
  ): Call<Gathered<v.InferOutput<S>>> {
    const answers = await sendToAll(agent, routers, { method: 'GET', path, query });
    return gather(answers, schema);
  }
  function post<S extends v.GenericSchema>(
    schema: S,
    path: string,
    body: object,
  ): Call<v.InferOutput<S>> {
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
