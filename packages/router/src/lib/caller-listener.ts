import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import { Server as NetServer, Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';

import {
  type CallerLimits,
  type ClosedConnection,
  createConnectionCloser,
  type InputGate,
  bodyFramingOf,
  createInputGate,
  createParseTurns,
  isFinalStatus,
} from '@boragepoint/platform';

import type { CallerRequest } from './caller-request.js';
import { type Pipeline, type PipelineEntry, createPipeline } from './pipeline.js';
import { type ConnectionBacklog, MAX_TOTAL_BYTES, createCallerBacklog } from './caller-backlog.js';
import { createBodyMemory } from './body-memory.js';
import { type ClientBudget, createClientBudget } from './client-budget.js';
import { createHeadMemory } from './head-memory.js';
import { createStalledClients } from './stalled-clients.js';
import {
  type FoundAnswer,
  type RequestReaderContext,
  createRequestReader,
} from './request-reader.js';
import { type OwnAnswer, type CallerAnswer, ownAnswer } from './caller-answer.js';
import { createStalledCallers } from './stalled-callers.js';
import { refuseMalformed } from './refuse-malformed.js';
import { listenWhenFree } from './listen-when-free.js';
import { UNWRITABLE_ANSWER, writeOwnAnswer, writeServerAnswer } from './write-answer.js';

/** Largest header section that the HTTP parser accepts; the configured limit applies within it. */
const MAX_HEADER_BYTES = 64 * 1_024;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Event loop turns within which the close event of a connection follows its last bytes. */
const CLOSE_EVENT_TURNS = 3;
/** Duration of one turn from which the event loop counts as busy, in milliseconds. */
const BUSY_TURN_MS = 4;
/** Number of connections that may wait to be accepted. */
const LISTEN_BACKLOG = 1_024;

/** Estimate of what the HTTP library and the router hold for a request without its body, in bytes. */
const REQUEST_BYTES = 8 * 1_024;
/**
 * Input of a connection that is read while its requests wait, in bytes: behind unread input, the end
 * of the connection would not be noticed.
 */
const READ_AHEAD_BYTES = 16 * 1_024;
/** Time between two looks for clients that stall, in milliseconds. */
const STALL_LOOK_MS = 1_000;

/** Dependencies of the listener. */
export interface CallerListenerContext extends RequestReaderContext {
  /** Budget of what is held for callers; one of the default size if undefined. */
  readonly budget?: ClientBudget;
  /** How long data that is read now may have waited in the socket buffer, in milliseconds. */
  readDelayMs(): number;
  /** Called with the answer to each request that reached the handler, for metrics and the log. */
  onAnswer(req: CallerRequest, answer: CallerAnswer): void;
  /** Called when the input of a request has been parsed, and when an answer has been written. */
  onWaited(wait: ListenerWait): void;
  /** Called when handling a request threw; the router goes on. */
  onUnexpectedError(err: unknown): void;
  /** Called when a connection that the listener closed has ended. */
  onConnectionClosed(closed: ClosedConnection): void;
}

/** HTTP listener for callers' requests. */
export interface CallerListener {
  applyLimits(limits: CallerLimits): void;
  /**
   * From now on the last answer on each connection closes it, and pipelined requests that arrive
   * after it are not accepted.
   */
  announceClose(): void;
  /**
   * Accepts no new connections, closes idle ones, and resolves when all callers have been sent the
   * last answer.
   */
  drain(): Promise<void>;
  /**
   * Answers a request with an error if an answer to a later request on its connection is ready, so
   * that this later answer can still be written.
   */
  abortBlockingRequests(): void;
  openRequests(): number;
  /** Bytes of answers that callers have not been sent yet. */
  unsentBytes(): number;
  openConnections(): number;
  /** Reports the connections that the end of the process closes. */
  reportExit(): void;
}

/** A wait in the listener. */
export interface ListenerWait {
  /** `input` waits for the parser, an `answer` to be written behind earlier ones and sent. */
  readonly what: 'input' | 'answer';
  readonly waitedMs: number;
  /** Id that the caller gave to the request. */
  readonly attemptId: string | undefined;
}

/** When a request arrived. */
interface Arrival {
  /** When the end of its head was received, in milliseconds of the monotonic clock. */
  readonly arrivedAt: number;
  /** How long what is read now may have waited in the socket buffer, in milliseconds. */
  readonly readDelayMs: number;
}

/** Starts the listener. */
export async function createCallerListener(
  ctx: CallerListenerContext,
  host: string,
  port: number,
): Promise<CallerListener> {
  /** From `announceClose` on: the last answer on each connection closes it. */
  let closing = false;
  /** From `drain` on: each connection is closed as soon as it is idle. */
  let draining = false;
  let openCount = 0;
  /** For each request without an answer yet, the function that answers it early. */
  const pendingAborts = new Map<PipelineEntry, (answer: OwnAnswer) => void>();
  const pipelines = new WeakMap<Socket, Pipeline>();
  const budget = ctx.budget ?? createClientBudget();
  const backlog = createCallerBacklog(
    { maxTotalBytes: Math.min(MAX_TOTAL_BYTES, budget.limitOf('answers')) },
    (difference) => {
      budget.add('answers', difference);
    },
  );
  const reader = createRequestReader(ctx, hasRoom, createBodyMemory(budget));
  const heads = createHeadMemory<Socket>(budget);
  const turns = createParseTurns();
  const gates = new WeakMap<Socket, InputGate>();
  /** The latest request that was read on a connection. */
  const latestRead = new WeakMap<Socket, IncomingMessage>();
  const stalled = createStalledCallers<Socket>(() => ctx.now());
  const backlogs = new WeakMap<Socket, ConnectionBacklog>();
  const server: Server = createServer(
    { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, requireHostHeader: false },
    (req, res) => {
      void answer(req, res);
    },
  );
  server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS;
  const closer = createConnectionCloser({
    now: () => ctx.now(),
    onClosed(closed) {
      ctx.onConnectionClosed(closed);
    },
  });
  // The HTTP server would answer an unknown expectation itself, and read its body without a bound.
  server.on('checkExpectation', (req, res) => {
    void answer(req, res);
  });
  server.on('clientError', refuse);
  // The HTTP server leaves the connection of such a request to its user.
  server.on('connect', (_req, socket) => {
    socket.on('error', () => undefined);
    if (!(socket instanceof Socket)) {
      socket.destroy();
      return;
    }
    // The server has given up the parser of the connection.
    closer.stopReading(socket);
    refuse(new TypeError('CONNECT is not served'), socket);
  });
  server.on('timeout', (socket: Socket) => {
    closer.close(socket, 'idle-timeout');
  });
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    // The HTTP server calls this after an answer that closes the connection.
    socket.destroySoon = () => {
      closer.close(socket, pipelineOf(socket).closeReason);
    };
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      heads.end(socket);
    });
    const gate = createInputGate(socket, {
      mayParse: () => mayParse(socket),
      mayReadAhead: (heldBytes) =>
        heldBytes < READ_AHEAD_BYTES && budget.hasRoom('input', READ_AHEAD_BYTES),
      turns,
      bodyFraming: () => bodyFramingOf(latestRead.get(socket)),
      onLines(lines) {
        const hasLinesRoom = heads.note(socket, lines);
        if (!hasLinesRoom && !closer.isClosing(socket)) closer.cut(socket, 'large-head', 0);
      },
      onHeld(difference) {
        budget.add('input', difference);
      },
      receivedAt: () => ctx.now() - ctx.readDelayMs(),
    });
    gates.set(socket, gate);
  });
  const stalledClients = createStalledClients<Socket>(
    (socket) => ({
      movedBytes: socket.bytesRead + socket.bytesWritten - socket.writableLength,
      isAwaited: socket.writableLength > 0 || owesBody(latestRead.get(socket)),
    }),
    () => server.keepAliveTimeout,
    () => ctx.now(),
  );
  const stallTimer = setInterval(() => {
    const found = stalledClients.find(sockets, budget.isShort());
    for (const { connection, forMs } of found) {
      if (!closer.isClosing(connection)) closer.cut(connection, 'stalled', forMs);
    }
  }, STALL_LOOK_MS).unref();

  /** Returns whether the rest of a request's body is read as soon as the caller sends it. */
  function owesBody(req: IncomingMessage | undefined): boolean {
    return req?.complete === false && req.readableFlowing === true;
  }

  /** Returns whether the parser may get more input of a connection. */
  function mayParse(socket: Socket): boolean {
    if (backlogOf(socket).waiting() > 0) return false;
    const latest = latestRead.get(socket);
    // The parts of a body that nobody reads yet would each be an object of the parser.
    if (latest?.complete === false) return latest.destroyed || latest.readableFlowing === true;
    if (pipelineOf(socket).endListeners.size === 0) return true;
    return budget.hasRoom('requests', REQUEST_BYTES);
  }

  /**
   * Closes a connection without open requests, once the caller has been sent all its answers. The
   * HTTP server's own methods destroy connections whose answers are not written yet.
   */
  function closeIfIdle(socket: Socket): void {
    if ((pipelines.get(socket)?.endListeners.size ?? 0) === 0) closer.close(socket, 'idle-at-stop');
  }

  function refuse(err: Error, socket: Socket): void {
    refuseMalformed(err, socket, {
      closer,
      pipeline: pipelineOf(socket),
      hasWaiting: backlogOf(socket).waiting() > 0,
      answerEarly: (entry, answer) => pendingAborts.get(entry)?.(answer),
    });
  }

  function pipelineOf(socket: Socket): Pipeline {
    const known = pipelines.get(socket);
    if (known) return known;
    const created = createPipeline(socket, () => {
      backlogOf(socket).close();
    });
    pipelines.set(socket, created);
    return created;
  }

  function backlogOf(socket: Socket): ConnectionBacklog {
    const known = backlogs.get(socket);
    if (known) return known;
    const opened = backlog.open(socket);
    backlogs.set(socket, opened);
    return opened;
  }

  /** Returns whether there is room for an answer; callers that have stopped reading make some. */
  function hasRoom(): boolean {
    if (backlog.hasRoom()) return true;
    for (const { connection, forMs } of stalled.find(sockets))
      closer.cut(connection, 'unread', forMs);
    return backlog.hasRoom();
  }

  /**
   * Lets a busy event loop process the close events of callers that have left: a request's bytes
   * are read before its connection's end. A router that lags would otherwise forward mostly
   * abandoned requests, and keep lagging.
   */
  async function waitForCloseEvents(isLate: boolean): Promise<void> {
    for (let turn = 0; turn < CLOSE_EVENT_TURNS; turn += 1) {
      const startedAt = ctx.now();
      await nextTurn();
      if (!isLate && ctx.now() - startedAt < BUSY_TURN_MS) return;
    }
  }

  /** Finds the answer to a request, or takes the one that `abortBlockingRequests` supplies. */
  async function findAnswerOrAbort(
    entry: PipelineEntry,
    req: IncomingMessage,
    disconnectSignal: AbortSignal,
    { arrivedAt, readDelayMs }: Arrival,
  ): Promise<CallerAnswer> {
    const abortedAnswer = new Promise<FoundAnswer>((resolve) => {
      pendingAborts.set(entry, (answer) => {
        resolve({ answer });
      });
    });
    await waitForCloseEvents(readDelayMs > 0);
    if (disconnectSignal.aborted) return { kind: 'none' };
    const found = await Promise.race([
      reader.answer(req, disconnectSignal, arrivedAt),
      abortedAnswer,
    ]);
    if (found.callerReq) ctx.onAnswer(found.callerReq, found.answer);
    return found.answer;
  }

  /** Finds the answer to a request; an unexpected error becomes an answer too. */
  async function findAnswerOrError(
    entry: PipelineEntry,
    req: IncomingMessage,
    disconnectSignal: AbortSignal,
    arrival: Arrival,
  ): Promise<CallerAnswer> {
    try {
      return await findAnswerOrAbort(entry, req, disconnectSignal, arrival);
    } catch (err) {
      ctx.onUnexpectedError(err);
      // The error may have come after the request was sent, so the request may have run.
      return ownAnswer('outcomeUnknown', 'an unexpected error in the router');
    } finally {
      pendingAborts.delete(entry);
    }
  }

  /**
   * Returns whether the previous answer closes the connection, which tells the caller that a request
   * behind it was not read.
   */
  function isAtEnd(socket: Socket): boolean {
    const pipeline = pipelineOf(socket);
    const isClosing = pipeline.isClosing || closer.isClosing(socket);
    return isClosing || (closing && pipeline.isBusy());
  }

  function refuseToTake(socket: Socket): void {
    closer.noteNotTaken(socket);
    closer.stopReading(socket);
  }

  /** Answers a request once those before it on its connection leave room for it. */
  async function answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { socket } = req;
    latestRead.set(socket, req);
    // The rest of its body is let through once it is read.
    req.once('resume', () => gates.get(socket)?.update());
    const arrivedAt = gates.get(socket)?.receivedAt() ?? ctx.now();
    const arrival = { arrivedAt, readDelayMs: ctx.readDelayMs() };
    const waitedMs = ctx.now() - arrivedAt;
    ctx.onWaited({ what: 'input', waitedMs, attemptId: attemptIdOf(req) });
    if (isAtEnd(socket)) {
      refuseToTake(socket);
      return;
    }
    const own = backlogOf(socket);
    const headBytes = heads.take(socket);
    budget.add('requests', REQUEST_BYTES);
    const release = () => {
      budget.add('requests', -REQUEST_BYTES);
      heads.free(headBytes);
    };
    if (!own.tryEnter() && !(await own.enter())) {
      release();
      return;
    }
    if (own.isClosed() || isAtEnd(socket)) {
      refuseToTake(socket);
      release();
      own.leave();
      return;
    }
    await answerEntered(req, res, arrival, release);
  }

  async function answerEntered(
    req: IncomingMessage,
    res: ServerResponse,
    arrival: Arrival,
    release: () => void,
  ): Promise<void> {
    const pipeline = pipelineOf(req.socket);
    const own = backlogOf(req.socket);
    const entry = pipeline.add(req);
    let heldBytes: number | undefined;
    let readyAt = Infinity;
    openCount += 1;
    const disconnect = new AbortController();
    res.on('error', () => undefined);
    const finish = () => {
      if (!pipeline.endListeners.delete(finish)) return;
      openCount -= 1;
      release();
      own.leave(heldBytes);
      closer.noteAnswer(req.socket);
      const waitedMs = ctx.now() - readyAt;
      if (waitedMs >= 0) ctx.onWaited({ what: 'answer', waitedMs, attemptId: attemptIdOf(req) });
      if (!res.writableFinished) disconnect.abort();
      if (pipeline.endListeners.size === 0) pipeline.onIdle?.();
      if (draining) closeIfIdle(req.socket);
    };
    pipeline.endListeners.add(finish);
    res.on('close', finish);
    const found = await findAnswerOrError(entry, req, disconnect.signal, arrival);
    if (found.kind === 'server' && pipeline.endListeners.has(finish)) {
      heldBytes = found.answer.body.length;
      own.hold(heldBytes);
    }
    readyAt = ctx.now();
    entry.markReady();
    // Whether this answer is the last one and closes the connection depends on the requests that
    // are read until its turn.
    await entry.turn;
    try {
      write(req, res, found, entry);
    } catch (err) {
      ctx.onUnexpectedError(err);
      replaceAnswer(req, res);
    }
    entry.remove();
  }

  function write(
    req: IncomingMessage,
    res: ServerResponse,
    found: CallerAnswer,
    entry: PipelineEntry,
  ): void {
    if (res.destroyed || found.kind === 'none') {
      res.destroy();
      return;
    }
    // Pipelined requests that were accepted after this one still need the connection for their
    // answers.
    const pipeline = pipelineOf(req.socket);
    const isCutOff = pipeline.isClosing || req.readableFlowing !== true;
    const isBodyRefused = !req.complete && isCutOff;
    if ((closing && entry.isLast()) || isBodyRefused) {
      if (isBodyRefused && !pipeline.isClosing) pipeline.closeReason = 'body-refused';
      pipeline.isClosing = true;
      res.setHeader('connection', 'close');
    }
    if (found.kind === 'server' && isFinalStatus(found.answer.status)) {
      writeServerAnswer(res, found);
      return;
    }
    writeOwn(req, res, found.kind === 'own' ? found : UNWRITABLE_ANSWER);
  }

  function attemptIdOf(req: IncomingMessage): string | undefined {
    return ctx.codec.readRequest(req.headers).attemptId;
  }

  function writeOwn(req: IncomingMessage, res: ServerResponse, own: OwnAnswer): void {
    const id = attemptIdOf(req);
    writeOwnAnswer(res, own, id === undefined ? {} : ctx.codec.writeAnswer(id));
  }

  /** Answers in place of an answer that could not be written; others may wait behind it. */
  function replaceAnswer(req: IncomingMessage, res: ServerResponse): void {
    if (res.headersSent || res.destroyed) {
      res.destroy();
      return;
    }
    const isLast = res.getHeader('connection') === 'close';
    for (const name of res.getHeaderNames()) res.removeHeader(name);
    if (isLast) res.setHeader('connection', 'close');
    writeOwn(req, res, UNWRITABLE_ANSWER);
  }

  await listenWhenFree(server, { host, port, backlog: LISTEN_BACKLOG });

  return {
    applyLimits(limits) {
      server.keepAliveTimeout = limits.idleTimeoutMs;
      server.headersTimeout = limits.headerTimeoutMs;
    },
    announceClose() {
      closing = true;
    },
    async drain() {
      draining = true;
      closer.liftNumberBound();
      const closed = new Promise((resolve) => NetServer.prototype.close.call(server, resolve));
      for (const socket of sockets) closeIfIdle(socket);
      await closed;
      clearInterval(stallTimer);
      // The last connections report their end a few turns later.
      while (sockets.size > 0) await nextTurn();
    },
    abortBlockingRequests() {
      const answer = ownAnswer('deadlinePassed', 'the router stops before the answer is there');
      for (const [entry, abort] of pendingAborts) if (entry.blocksReadyAnswers()) abort(answer);
    },
    openRequests: () => openCount,
    unsentBytes: () => [...sockets].reduce((sum, it) => sum + it.writableLength, 0),
    openConnections: () => sockets.size,
    reportExit() {
      closer.reportExit(sockets);
    },
  };
}
