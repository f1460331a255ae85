import { RESULT_CODES, type ResultCode, nameOf } from '@boragepoint/config';
import type { AssignmentMap } from '@boragepoint/ownership';
import type {
  ForwardRequest,
  ForwardRequestSchema,
  ForwardResponse,
  ForwardResponseSchema,
} from '@boragepoint/protocol';
import { type RoutedAnswer, type RoutedRequest, refusal } from '@boragepoint/routing';
import type { MessageInitShape } from '@bufbuild/protobuf';

/** Encodes a request for a peer. */
export function encodeRequest(req: RoutedRequest): MessageInitShape<typeof ForwardRequestSchema> {
  const { requestId, service, rule, method, path, headers, body, key, caller } = req;
  return {
    requestId,
    service: service.name,
    rule: rule.name,
    idempotencyKey: req.idempotencyKey ?? '',
    method,
    path,
    headers: [...headers],
    body,
    key,
    caller,
    repeat: req.isRepeat,
    deadlineMs: Math.max(1, Math.floor(req.deadlineAt - performance.now())),
  };
}

/** Decodes a peer's request; `undefined` when this router does not know its service or rule. */
export function decodeRequest(
  map: AssignmentMap,
  message: ForwardRequest,
  signal: AbortSignal,
): RoutedRequest | undefined {
  const service = map.service(message.service);
  const rule = service?.rules.find((it) => it.name === message.rule);
  if (service === undefined || rule === undefined) return undefined;
  const { requestId, key, method, path, headers, body, caller, idempotencyKey } = message;
  return {
    requestId,
    service,
    rule,
    key,
    method,
    path,
    headers,
    body,
    caller,
    idempotencyKey: idempotencyKey === '' ? undefined : idempotencyKey,
    isRepeat: message.repeat,
    deadlineAt: performance.now() + message.deadlineMs,
    signal,
  };
}

/** Encodes an answer for a peer. */
export function encodeAnswer(
  requestId: string,
  routed: RoutedAnswer,
): MessageInitShape<typeof ForwardResponseSchema> {
  if (routed.kind === 'answered') {
    const { status, headers, body } = routed.answer;
    return { requestId, status, headers: [...headers], body, replayed: routed.replayed };
  }
  const { result, message, retryAfterMs } = routed;
  return {
    requestId,
    code: RESULT_CODES[result],
    message,
    retryAfterMs: Math.ceil(retryAfterMs ?? 0),
  };
}

/** Decodes a peer's answer; `undefined` when it belongs to another request. */
export function decodeAnswer(
  requestId: string,
  message: ForwardResponse,
): RoutedAnswer | undefined {
  if (message.requestId !== requestId) return undefined;
  if (message.code !== 0) {
    const retryAfterMs = message.retryAfterMs === 0 ? undefined : message.retryAfterMs;
    return refusal(nameOf(message.code as ResultCode), message.message, retryAfterMs);
  }
  const { status, headers, body, replayed } = message;
  return { kind: 'answered', answer: { status, headers, body }, replayed };
}
