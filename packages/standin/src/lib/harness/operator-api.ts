import {
  OPERATOR_PATHS,
  ownerAnswerSchema,
  serviceDocumentSchema,
  type MoveRequest,
  type OwnerAnswer,
  type PutServiceInput,
} from '@boragepoint/config';
import { request } from 'undici';
import * as v from 'valibot';

const CALL_TIMEOUT_MS = 15_000;

/** A router's answer to an operator's request. */
export interface OperatorAnswer {
  readonly status: number;
  readonly text: string;
}

/** Client of one router's operator API. */
export interface OperatorApi {
  service(name: string): Promise<v.InferOutput<typeof serviceDocumentSchema>>;
  owner(service: string, key: string): Promise<OwnerAnswer>;
  putService(name: string, body: PutServiceInput): Promise<OperatorAnswer>;
  move(body: MoveRequest): Promise<OperatorAnswer>;
}

/** Creates a client of a router's operator API. */
export function createOperatorApi(address: string, token: string): OperatorApi {
  const headers = { authorization: `Bearer ${token}`, 'content-type': 'application/json' };

  async function call(method: 'GET' | 'PUT' | 'POST', path: string, body?: unknown) {
    const text = body === undefined ? null : JSON.stringify(body);
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const res = await request(`http://${address}${path}`, { method, headers, body: text, signal });
    return { status: res.statusCode, text: await res.body.text() };
  }

  return {
    async service(name) {
      const { text } = await call('GET', `${OPERATOR_PATHS.services}/${name}`);
      return v.parse(serviceDocumentSchema, JSON.parse(text));
    },
    async owner(service, key) {
      const query = new URLSearchParams({ service, key });
      const { text } = await call('GET', `${OPERATOR_PATHS.owner}?${query.toString()}`);
      return v.parse(ownerAnswerSchema, JSON.parse(text));
    },
    putService: (name, body) => call('PUT', `${OPERATOR_PATHS.services}/${name}`, body),
    move: (body) => call('POST', OPERATOR_PATHS.move, body),
  };
}
