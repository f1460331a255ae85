import type { Socket } from 'node:net';

import type { ParseTurns } from './parse-turns.js';
import { type BodyFraming, createRequestFraming } from './request-framing.js';

/** What the owner of a connection decides about its input. */
export interface InputGateContext {
  /** Returns whether the parser may get more; asked again after each request head. */
  mayParse(): boolean;
  /** Framing of the body that the parser expects next; `undefined` between requests. */
  bodyFraming(): BodyFraming | undefined;
  /** Turns that chunked bodies wait for; shared by the connections of a listener. */
  readonly turns: ParseTurns;
  /** Called when the bytes that wait for the parser change in number. */
  onHeld(difference: number): void;
}

/** Input of a connection on its way to the parser. */
export interface InputGate {
  /** Passes on what the parser may get now. */
  update(): void;
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
 * lets nothing pass, the connection is not read from.
 */
export function createInputGate(socket: Socket, ctx: InputGateContext): InputGate {
  const parse = socket.listeners('data') as ((input: Buffer) => void)[];
  const framing = createRequestFraming(() => ctx.bodyFraming());
  let held: Buffer | undefined;
  /** Whether chunks began in the part that the parser got last. */
  let hadChunks = false;
  let isPausedHere = false;
  let isPumping = false;

  function setHeld(next: Buffer | undefined): void {
    ctx.onHeld((next?.length ?? 0) - (held?.length ?? 0));
    held = next;
  }

  /** Whether the parser still gets the input; a closing connection drops it. */
  const isOpen = () => !socket.destroyed && socket.listeners('data').includes(take);

  function passSlice(input: Buffer): void {
    const { length, chunks } = framing.nextPart(input);
    hadChunks = chunks > 0;
    ctx.turns.note(chunks);
    setHeld(length < input.length ? input.subarray(length) : undefined);
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
      while (held && mayPass()) passSlice(held);
    } finally {
      isPumping = false;
    }
    if (!isOpen()) {
      setHeld(undefined);
    } else if (held) {
      isPausedHere = true;
      socket.pause();
    } else if (isPausedHere) {
      isPausedHere = false;
      socket.resume();
    }
  }

  function take(input: Buffer): void {
    setHeld(held ? Buffer.concat([held, input]) : input);
    pump();
  }

  socket.removeAllListeners('data');
  // A listener of its own also takes the connection's handle back from the parser.
  socket.on('data', take);
  // The HTTP server resumes a connection after each request that it has read.
  socket.on('resume', () => {
    if (held) pump();
  });
  socket.once('close', () => {
    setHeld(undefined);
  });
  return { update: pump };
}
