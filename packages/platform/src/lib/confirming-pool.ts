import { type Dispatcher, Pool, errors } from 'undici';

import { isFramed } from './answer-framing.js';
import { type ConnectionEnds, createConnectionEnds } from './connection-ends.js';
import { limitFraming } from './response-framing-limit.js';

const HTTP_OK = 200;

/** Options of {@link createConfirmingPool}. */
export interface ConfirmingPoolOptions {
  readonly connections: number;
  /** Time in which a connection has to be established, in milliseconds; the library's by default. */
  readonly connectTimeoutMs?: number;
  /** Time after which an idle connection is closed, in milliseconds; the library's by default. */
  readonly keepAliveMs?: number;
}

/** Passes the end of an answer without framing on once its connection is known to have ended in order. */
function confirming(
  handler: Dispatcher.DispatchHandler,
  method: string,
  ends: ConnectionEnds,
): Dispatcher.DispatchHandler {
  let framed = true;

  async function endOnceConfirmed(
    ...[controller, trailers]: Parameters<Required<Dispatcher.DispatchHandler>['onResponseEnd']>
  ): Promise<void> {
    if (await ends.confirmEnd()) handler.onResponseEnd?.(controller, trailers);
    else handler.onResponseError?.(controller, new errors.SocketError('reset before the end'));
  }

  return {
    onRequestStart: (...args) => handler.onRequestStart?.(...args),
    onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
    onResponseStart(controller, status, headers, message) {
      if (status >= HTTP_OK) framed = isFramed(method, status, headers);
      handler.onResponseStart?.(controller, status, headers, message);
    },
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseEnd(controller, trailers) {
      if (framed) handler.onResponseEnd?.(controller, trailers);
      else void endOnceConfirmed(controller, trailers);
    },
    onResponseError: (...args) => handler.onResponseError?.(...args),
  };
}

/**
 * Creates a pool of connections to an origin. An answer without a length or chunks fails where its
 * connection did not end in order, as its end is missing then; the HTTP library alone reports it as
 * complete. What answers have besides their bodies is limited.
 */
export function createConfirmingPool(
  origin: string,
  { connections, connectTimeoutMs, keepAliveMs }: ConfirmingPoolOptions,
): Dispatcher {
  const ends = createConnectionEnds();
  const limited = limitFraming(
    { allowHalfOpen: true, ...(connectTimeoutMs !== undefined && { timeout: connectTimeoutMs }) },
    {
      onConnected(socket) {
        ends.watch(socket);
      },
    },
  );
  const pool = new Pool(origin, {
    connections,
    pipelining: 1,
    ...(keepAliveMs !== undefined && { keepAliveTimeout: keepAliveMs }),
    connect: limited.connect,
  });
  const confirmed = pool.compose(
    (dispatch) => (options, handler) =>
      dispatch(options, confirming(handler, options.method, ends)),
  );
  return limited.observed(confirmed);
}
