import type { Socket } from 'node:net';

import type { ParseTurns } from './parse-turns.js';
import { type BodyFraming, createRequestFraming } from './request-framing.js';

/** Most reads of a connection that wait for the parser: each takes memory besides its bytes. */
const MAX_HELD_READS = 64;

/** What the owner of a connection decides about its input. */
export interface InputGateContext {
  /** Returns whether the parser may get more; asked again after each request head. */
  mayParse(): boolean;
  /** Returns whether more input may be read although `heldBytes` wait for the parser. */
  mayReadAhead(heldBytes: number): boolean;
  /** Framing of the body that the parser expects next; `undefined` between requests. */
  bodyFraming(): BodyFraming | undefined;
  /** Turns that chunked bodies wait for; shared by the connections of a listener. */
  readonly turns: ParseTurns;
  /**
   * Called with the number of lines of a head or of trailers that the parser is about to get. It gets
   * none if the connection is closed then.
   */
  onLines(lines: number): void;
  /** Called when the bytes that wait for the parser change in number. */
  onHeld(difference: number): void;
  /** When input that is read now was received, in milliseconds of the monotonic clock. */
  receivedAt(): number;
}

/** Input of a connection on its way to the parser. */
export interface InputGate {
  /** Passes on what the parser may get now. */
  update(): void;
  /** When the input that the parser got last was received, in milliseconds of the monotonic clock. */
  receivedAt(): number;
}

/** Input of one read, or what is left of it. */
interface HeldRead {
  readonly input: Buffer;
  /** In milliseconds of the monotonic clock. */
  readonly receivedAt: number;
}

/**
 * Returns whether the HTTP server has paused a connection whose answers pile up. Its parser fails on
 * input then; the server resumes the connection once they are written.
 */
const isPausedByServer = (socket: Socket & { readonly _paused?: boolean }) =>
  socket._paused === true;

/**
 * Stands between a connection of an HTTP server and its parser, which otherwise creates the objects
 * of all requests in a read, more than a thousand, before the server can pause it. While the owner
 * lets nothing pass, the connection is read from only as far as the owner allows: the end of a
 * connection is noticed only where all input before it has been read.
 */
export function createInputGate(socket: Socket, ctx: InputGateContext): InputGate {
  const parse = socket.listeners('data') as ((input: Buffer) => void)[];
  const framing = createRequestFraming(() => ctx.bodyFraming());
  /** Reads that wait for the parser, in order. */
  const held: HeldRead[] = [];
  let heldBytes = 0;
  let receivedAt = ctx.receivedAt();
  /** Whether chunks began in the part that the parser got last. */
  let hadChunks = false;
  let isPausedHere = false;
  let isPumping = false;

  function noteHeld(difference: number): void {
    heldBytes += difference;
    ctx.onHeld(difference);
  }

  function hold(read: HeldRead): void {
    held.push(read);
    noteHeld(read.input.length);
  }

  function dropHeld(): void {
    held.length = 0;
    noteHeld(-heldBytes);
  }

  /** Whether the parser still gets the input; a closing connection drops it. */
  const isOpen = () => !socket.destroyed && socket.listeners('data').includes(take);

  function passSlice(read: HeldRead): void {
    const { input } = read;
    const { length, chunks, lines } = framing.nextPart(input);
    hadChunks = chunks > 0;
    ctx.turns.note(chunks);
    if (lines > 0) ctx.onLines(lines);
    if (socket.destroyed) return;
    if (length < input.length) held[0] = { ...read, input: input.subarray(length) };
    else held.shift();
    noteHeld(-length);
    ({ receivedAt } = read);
    const slice = length < input.length ? input.subarray(0, length) : input;
    for (const listener of parse) listener(slice);
  }

  /** Returns whether the parser gets more in this turn. */
  function mayPass(): boolean {
    if (!isOpen() || isPausedByServer(socket) || !ctx.mayParse()) return false;
    if (!hadChunks || ctx.turns.hasRoom()) return true;
    ctx.turns.wait(pump);
    return false;
  }

  function pump(): void {
    if (isPumping) return;
    isPumping = true;
    try {
      for (let [next] = held; next && mayPass(); [next] = held) passSlice(next);
    } finally {
      isPumping = false;
    }
    if (isOpen()) readOnOrPause();
    else dropHeld();
  }

  function readOnOrPause(): void {
    const hasPlace = held.length < MAX_HELD_READS;
    const mayRead = heldBytes === 0 || (hasPlace && ctx.mayReadAhead(heldBytes));
    if (mayRead && isPausedHere) {
      isPausedHere = false;
      socket.resume();
    } else if (!mayRead) {
      isPausedHere = true;
      socket.pause();
    }
  }

  function take(input: Buffer): void {
    hold({ input, receivedAt: ctx.receivedAt() });
    pump();
  }

  socket.removeAllListeners('data');
  // A listener of its own also takes the connection's handle back from the parser.
  socket.on('data', take);
  // The HTTP server resumes a connection after each request that it has read.
  socket.on('resume', () => {
    if (held.length > 0) pump();
  });
  socket.once('close', dropHeld);
  return { update: pump, receivedAt: () => receivedAt };
}
