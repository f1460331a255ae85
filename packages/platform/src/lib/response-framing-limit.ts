import type { Socket } from 'node:net';

import { type Dispatcher, buildConnector } from 'undici';

import { type FramingCount, createFramingCount } from './framing-count.js';
import { type ResponseTurns, createResponseTurns } from './response-turns.js';

const HTTP_OK = 200;

/** A connection brought more bytes around a response body than a valid response has. */
export class ResponseFramingError extends Error {
  override readonly name = 'ResponseFramingError';
  readonly code = 'ERR_RESPONSE_FRAMING';
}

/** A response was given up because all that are held took too much memory. */
export class ResponseMemoryError extends Error {
  override readonly name = 'ResponseMemoryError';
  readonly code = 'ERR_RESPONSE_MEMORY';
}

/** Accounts for the memory of responses while they are held. */
export interface HeldMemory {
  /** Registers a response; `abort` is called at most once, when there is no room for it. */
  begin(abort: () => void): HeldRoom;
}

/** The memory of one response; disposing of it frees the memory. */
export interface HeldRoom extends Disposable {
  /** Asks for so many bytes in all; returns false if the response was aborted. */
  grow(bytes: number): boolean;
}

/** Accounts for the header lines and trailers of the responses on a connection. */
interface HeldLines {
  /** Notes the size of all lines of the response, in bytes. */
  note(bytes: number): void;
  /** Notes that the lines are not held any more. */
  end(): void;
}

/** Creates the account of a connection; `abort` ends the connection. */
function createHeldLines(memory: HeldMemory | undefined, abort: () => void): HeldLines {
  let room: HeldRoom | undefined;
  return {
    note(bytes) {
      if (bytes === 0) return;
      room ??= memory?.begin(abort);
      room?.grow(bytes);
    },
    end() {
      room?.[Symbol.dispose]();
      room = undefined;
    },
  };
}

/** What is known of a connection. */
interface WatchedConnection {
  readonly count: FramingCount;
  readonly lines: HeldLines;
}

/** What the limits of several pools share. */
export interface ResponseFramingOptions {
  /** Accounts for header lines and trailers while they are held; they have no limit without it. */
  readonly memory?: HeldMemory | undefined;
  readonly turns?: ResponseTurns;
}

/** Bounds what responses bring besides their bodies: heads, chunk sizes, trailers, empty lines. */
interface ResponseFramingLimit {
  /** Limits a new connection; has to come before the HTTP library listens to it. */
  watch(socket: Socket): void;
  /** Observes the responses on the watched connections. Every request needs it. */
  observe(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler;
}

/**
 * Creates the limit for connections of undici. Its parser limits the header fields of one head, but
 * neither status lines, empty lines, interim responses and chunk extensions, nor what it does with
 * the rest of a read after that limit. The input is passed to it in slices, and a connection that is
 * beyond its limit passes nothing more. The lines of a response, for which the library keeps objects
 * until it ends, take memory of the account if there is one. Many small parts are spread over turns
 * of the event loop.
 */
function createResponseFramingLimit({
  memory,
  turns = createResponseTurns(),
}: ResponseFramingOptions = {}): ResponseFramingLimit {
  /** The connection that was read from last, whose input is being parsed. */
  let current: WatchedConnection | undefined;

  function watch(socket: Socket): void {
    const count = createFramingCount();
    const read = socket.read.bind(socket);
    const lines = createHeldLines(memory, () => {
      socket.destroy(new ResponseMemoryError('the lines of all responses take too much memory'));
    });
    const turn = turns.join(() => {
      socket.emit('readable');
    });
    const connection: WatchedConnection = { count, lines };
    socket.once('close', () => {
      lines.end();
    });

    /** Notes that the parser has handled what it got. */
    function settle(): void {
      if (!count.settle()) return;
      turn.note(count.excessParts());
      if (!socket.destroyed) lines.note(count.heldBytes());
    }

    const unshift = socket.unshift.bind(socket);
    // The parser does this when the reader of a body pauses it.
    socket.unshift = (chunk: Buffer, encoding?: BufferEncoding) => {
      count.giveBack(chunk.length);
      unshift(chunk, encoding);
    };
    socket.read = (size?: number): unknown => {
      // The stream itself calls this to receive more; it drops what it gets.
      if (size === 0) return read(0);
      current = connection;
      settle();
      // The parser otherwise goes on with what was received before the connection was closed.
      if (socket.destroyed) return null;
      if (count.isExceeded()) {
        socket.destroy(
          new ResponseFramingError('the response has too many bytes besides its body'),
        );
        return null;
      }
      if (socket.readableLength > 0 && !turn.mayGoOn()) return null;
      const length = Math.min(socket.readableLength, size ?? Infinity, count.sliceBytes());
      // Without a size, the stream begins to read again, or ends.
      const slice = (length > 0 ? read(length) : read()) as Buffer | null;
      if (slice) count.pass(slice);
      return slice;
    };
  }

  return {
    watch,
    observe(handler) {
      let connection: WatchedConnection | undefined;
      return {
        onRequestStart: (...args) => handler.onRequestStart?.(...args),
        onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
        onResponseStart(controller, status, headers, message) {
          if (status >= HTTP_OK) {
            connection = current;
            connection?.count.beginBody();
          }
          handler.onResponseStart?.(controller, status, headers, message);
        },
        onResponseData(controller, chunk) {
          connection?.count.notePart(chunk);
          handler.onResponseData?.(controller, chunk);
        },
        onResponseEnd(controller, trailers) {
          connection?.count.end();
          connection?.lines.end();
          handler.onResponseEnd?.(controller, trailers);
        },
        onResponseError: (...args) => handler.onResponseError?.(...args),
      };
    },
  };
}

/** Limits the responses on all connections of a pool or agent of undici. */
export interface FramingLimitedConnections {
  /** Opens its connections. */
  readonly connect: buildConnector.connector;
  /** Observes the responses to a request. Every request needs it. */
  observe(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler;
  /** Returns the dispatcher with all its responses observed. */
  observed(dispatcher: Dispatcher): Dispatcher;
}

/** Options of {@link limitFraming}. */
export interface FramingLimitOptions extends ResponseFramingOptions {
  /** Called with each new connection, before the HTTP library listens to it. */
  readonly onConnected?: (socket: Socket) => void;
}

/** Creates the limit of a pool or agent whose connections are opened with the connector's options. */
export function limitFraming(
  connectorOptions: buildConnector.BuildOptions,
  { onConnected, ...options }: FramingLimitOptions = {},
): FramingLimitedConnections {
  const framing = createResponseFramingLimit(options);
  const connectSocket = buildConnector(connectorOptions);
  const observe = (handler: Dispatcher.DispatchHandler) => framing.observe(handler);
  return {
    connect(target, callback) {
      connectSocket(target, (...result) => {
        const [, socket] = result;
        if (socket) {
          onConnected?.(socket);
          framing.watch(socket);
        }
        callback(...result);
      });
    },
    observe,
    observed: (dispatcher) =>
      dispatcher.compose((dispatch) => (request, handler) => dispatch(request, observe(handler))),
  };
}
