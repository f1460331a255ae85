import { Client, type Dispatcher, type buildConnector } from 'undici';

import type { IdleLimit } from './idle-limit.js';

/** Dependencies of a pool. */
export interface ConnectionPoolOptions {
  readonly origin: string;
  readonly connections: number;
  /** Idle timeout of the connection that was used last, in milliseconds. */
  readonly keepAliveMs: number;
  /** Idle timeout of the others, in milliseconds. */
  readonly extraKeepAliveMs: number;
  readonly connect: buildConnector.connector;
  /** Wraps the handler of each request, to observe its response. */
  readonly observe?: (handler: Dispatcher.DispatchHandler) => Dispatcher.DispatchHandler;
  readonly idleLimit: IdleLimit;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  /** Called for each request that is sent, with whether its connection had been used before. */
  readonly onSend: (isReused: boolean) => void;
}

/** Connections that carry one request at a time; the rest of the requests wait in order. */
export interface ConnectionPool extends Pick<Dispatcher, 'dispatch'> {
  /**
   * Closes idle connections beyond the one that was used last when they have been idle for longer
   * than a time, their own if it is missing.
   */
  trim(maxIdleMs?: number): void;
  /** Closes connections once they are idle; requests that wait are still sent. */
  close(): void;
}

/** A client of the HTTP library with at most one connection and one request. */
interface Slot {
  readonly client: Client;
  isConnected: boolean;
  /** When its last answer ended. */
  idleSince: number;
}

interface WaitingRequest {
  readonly options: Dispatcher.DispatchOptions;
  readonly handler: Dispatcher.DispatchHandler;
}

/**
 * Creates a pool that prefers the connection that was used last, so that the others become idle and
 * are closed. The pool of the HTTP library takes the first one that is free, connected or not.
 */
export function createConnectionPool(options: ConnectionPoolOptions): ConnectionPool {
  const { now, idleLimit } = options;
  /** Free slots; the one that was used last is the last. */
  let idle: Slot[] = [];
  const waiting: WaitingRequest[] = [];
  let busy = 0;
  let isClosed = false;

  function createSlot(): Slot {
    const client = new Client(options.origin, {
      pipelining: 1,
      keepAliveTimeout: options.keepAliveMs,
      keepAliveMaxTimeout: options.keepAliveMs,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: options.connect,
    });
    const slot: Slot = { client, isConnected: false, idleSince: -Infinity };
    client.on('connect', () => (slot.isConnected = true));
    client.on('disconnect', () => {
      slot.isConnected = false;
      idle = idle.filter((it) => it !== slot);
    });
    return slot;
  }

  function closeSlot({ client }: Slot): void {
    void client.close().catch(() => undefined);
  }

  /** Closes the free slots that have been idle for longer than a time. */
  function closeOlder(slots: readonly Slot[], maxIdleMs: number): void {
    const oldest = now() - maxIdleMs;
    const old = slots.filter((it) => it.idleSince <= oldest);
    if (old.length === 0) return;
    idle = idle.filter((it) => !old.includes(it));
    old.forEach(closeSlot);
  }

  function trim(maxIdleMs = options.extraKeepAliveMs): void {
    if (idle.length > 1) closeOlder(idle.slice(0, -1), maxIdleMs);
  }

  function takeSlot(isRepeatable: boolean): Slot {
    closeOlder(idle, idleLimit.limitMs(isRepeatable));
    return idle.pop() ?? createSlot();
  }

  function release(slot: Slot, isUsable: boolean): void {
    busy -= 1;
    slot.idleSince = now();
    const next = waiting.shift();
    if (next) {
      // The connection may have to close after this answer; the client then opens another one.
      if (!isUsable) closeSlot(slot);
      run(isUsable ? slot : createSlot(), next);
    } else if (isUsable && slot.isConnected && !isClosed) {
      idle.push(slot);
      trim();
    } else closeSlot(slot);
  }

  function run(slot: Slot, { options: request, handler }: WaitingRequest): void {
    busy += 1;
    const idleMs = now() - slot.idleSince;
    const isReused = slot.isConnected;
    let hasAnswer = false;
    options.onSend(isReused);
    const observed: Dispatcher.DispatchHandler = {
      onRequestStart(controller, context) {
        handler.onRequestStart?.(controller, context);
      },
      onResponseStart(controller, status, headers, message) {
        hasAnswer = true;
        handler.onResponseStart?.(controller, status, headers, message);
      },
      onResponseData(controller, chunk) {
        handler.onResponseData?.(controller, chunk);
      },
      onResponseEnd(controller, trailers) {
        if (isReused) idleLimit.noteAnswer(idleMs);
        handler.onResponseEnd?.(controller, trailers);
        release(slot, true);
      },
      onResponseError(controller, err) {
        if (!hasAnswer && isReset(err)) idleLimit.noteReset(isReused ? idleMs : 0);
        handler.onResponseError?.(controller, err);
        release(slot, false);
      },
    };
    slot.client.dispatch(request, options.observe?.(observed) ?? observed);
  }

  return {
    dispatch(request, handler) {
      if (idle.length === 0 && busy >= options.connections) {
        waiting.push({ options: request, handler });
        return false;
      }
      run(takeSlot(request.idempotent ?? false), { options: request, handler });
      return true;
    },
    trim,
    close() {
      isClosed = true;
      idle.forEach(closeSlot);
      idle = [];
    },
  };
}

/** Whether the other side ended the connection. */
function isReset(err: Error): boolean {
  const code = 'code' in err ? err.code : undefined;
  return code === 'ECONNRESET' || code === 'EPIPE' || code === 'UND_ERR_SOCKET';
}
