import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** How a caller uses its connection. */
export interface SteadyCallerOptions {
  readonly port: number;
  /** Text of the next thing to send. */
  readonly next: () => string;
  /** Time between two sends, in milliseconds. */
  readonly sendEachMs: number;
  /** Bytes that it reads at once. */
  readonly readBytes: number;
  /** Time between two reads, in milliseconds. */
  readonly readEachMs: number;
}

/** What a caller received. */
export interface SteadyCallerResult {
  readonly text: string;
  /** `end`, or the code of the error that ended the connection. */
  readonly end: string;
}

/** Sends on one connection until the connection ends, and reads at a steady pace meanwhile. */
export async function runSteadyCaller(options: SteadyCallerOptions): Promise<SteadyCallerResult> {
  const { port, next, sendEachMs, readBytes, readEachMs } = options;
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  const parts: string[] = [];
  const timer = setInterval(() => socket.write(next()), sendEachMs);
  let end: string | undefined;
  socket.on('readable', () => undefined);
  socket.on('end', () => (end ??= 'end'));
  socket.on('error', (err: NodeJS.ErrnoException) => (end ??= err.code ?? 'error'));
  socket.on('close', () => (end ??= 'closed'));
  while (end === undefined) {
    const size = Math.min(readBytes, socket.readableLength);
    const chunk = (size > 0 ? socket.read(size) : socket.read(0)) as Buffer | null;
    if (chunk) parts.push(chunk.toString('latin1'));
    await sleep(readEachMs);
  }
  clearInterval(timer);
  socket.destroy();
  return { text: parts.join(''), end };
}

/** Takes the whole answers off a text; every answer has to state its length. */
export function wholeAnswers(text: string): readonly { head: string; body: string }[] {
  const found: { head: string; body: string }[] = [];
  let rest = text;
  for (;;) {
    const headEnd = rest.indexOf('\r\n\r\n');
    const head = rest.slice(0, headEnd + 2);
    const length = Number(/content-length: (\d+)/i.exec(head)?.[1]);
    if (headEnd < 0 || !(rest.length >= headEnd + 4 + length)) return found;
    found.push({ head, body: rest.slice(headEnd + 4, headEnd + 4 + length) });
    rest = rest.slice(headEnd + 4 + length);
  }
}
