import { type AddressInfo, type Server, type Socket, createServer } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'earl';

import { createConfirmingPool } from '../lib/confirming-pool.js';

const KIBIBYTE = 1 << 10;
const MEBIBYTE = 1 << 20;
const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
/** Bytes besides a body that no valid answer has; the server then waits for the connection's end. */
const EXCESSIVE_FRAMING: Readonly<Record<string, string>> = {
  'small header lines': `${HEAD}${'a:\r\n'.repeat(10_000)}`,
  'interim responses': 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(10_000),
  'a status line': `HTTP/1.1 200 ${'O'.repeat(256 * KIBIBYTE)}`,
  'empty lines': '\r\n'.repeat(128 * KIBIBYTE),
  'a chunk extension': `${CHUNKED}1;${'x'.repeat(256 * KIBIBYTE)}`,
  'small trailers': `${CHUNKED}0\r\n${'a:\r\n'.repeat(10_000)}`,
};
const PATIENCE_MS = 10_000;

/** A server that answers each request on a connection with the next reply. */
interface Replying extends AsyncDisposable {
  readonly origin: string;
  /** Number of connections so far. */
  readonly opened: () => number;
}

async function listen(reply: (socket: Socket, request: number) => void): Promise<Replying> {
  let opened = 0;
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    let requests = 0;
    opened += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      reply(socket, requests);
      requests += 1;
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return {
    origin: `http://127.0.0.1:${port}`,
    opened: () => opened,
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

for (const [name, bytes] of Object.entries(EXCESSIVE_FRAMING)) {
  // Guards against a faulty server that keeps the processor busy, or a call waiting, with bytes that
  // are not part of a body.
  test(`a call is given up when its answer has too many bytes besides its body: ${name}`, async () => {
    await using server = await listen((socket) => socket.write(bytes));
    const pool = createConfirmingPool(server.origin, { connections: 1 });
    const call = async () => {
      const res = await pool.request({ method: 'GET', path: '/' });
      return res.body.text();
    };
    const failure = await Promise.race([
      call().catch((err: unknown) => (err as Error).name),
      sleep(PATIENCE_MS, 'still waiting', { ref: false }),
    ]);
    expect(failure).toEqual('ResponseFramingError');
    await pool.destroy();
  });
}

/** Text without repetition, so that a part that is lost or moved shows. */
function numberedLines(bytes: number): string {
  let text = '';
  for (let line = 0; text.length < bytes; line += 1) text += `${line}\n`;
  return text;
}

const BODY = numberedLines(4 * MEBIBYTE);
/** Encodes text in chunks of a size. */
function chunksOf(text: string, size: number): string {
  let chunks = '';
  for (let at = 0; at < text.length; at += size) {
    const chunk = text.slice(at, at + size);
    chunks += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
  }
  return `${chunks}0\r\n\r\n`;
}

/** A body whose chunks of one byte are parsed in many turns of the event loop. */
const SMALL_BODY = BODY.slice(0, 64 * KIBIBYTE);

interface WholeAnswer {
  readonly text: string;
  readonly isClosing: boolean;
  /** The whole body; `BODY` if missing. */
  readonly body?: string;
}

const WHOLE_ANSWERS: Readonly<Record<string, WholeAnswer>> = {
  'with a length': {
    text: `${HEAD}content-length: ${BODY.length}\r\n\r\n${BODY}`,
    isClosing: false,
  },
  'in chunks': { text: `${CHUNKED}${chunksOf(BODY, 1_000)}`, isClosing: false },
  'in chunks of one byte': {
    text: `${CHUNKED}${chunksOf(SMALL_BODY, 1)}`,
    isClosing: false,
    body: SMALL_BODY,
  },
  'in chunks of one byte before the end of the connection': {
    text: `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n${chunksOf(SMALL_BODY, 1)}`,
    isClosing: true,
    body: SMALL_BODY,
  },
  'to the end of the connection': {
    text: `${HEAD}connection: close\r\n\r\n${BODY}`,
    isClosing: true,
  },
};
const PAUSE_EVERY = 16;

for (const [name, { text, isClosing, body = BODY }] of Object.entries(WHOLE_ANSWERS)) {
  // Guards against bytes that are lost, or an end that overtakes them, while the reader of a body is
  // slow and the parser is paused.
  test(`an answer is whole for a slow reader: ${name}`, async () => {
    await using server = await listen((socket) => {
      socket.write(text);
      if (isClosing) socket.end();
    });
    const pool = createConfirmingPool(server.origin, { connections: 1 });
    for (let requests = 0; requests < 3; requests += 1) {
      const res = await pool.request({ method: 'GET', path: '/' });
      const parts: Uint8Array[] = [];
      for await (const part of res.body as AsyncIterable<Uint8Array>) {
        parts.push(part);
        if (parts.length % PAUSE_EVERY === 0) await sleep(1);
      }
      expect(Buffer.concat(parts).toString() === body).toEqual(true);
    }
    expect(server.opened()).toEqual(isClosing ? 3 : 1);
    await pool.destroy();
  });
}
