import { type AddressInfo, connect, createServer } from 'node:net';

import type { ClosedConnection, FleetConfig, HeaderCodec } from '@boragepoint/platform';

import {
  type CallerListener,
  type ListenerWait,
  createCallerListener,
} from '../lib/caller-listener.js';
import type { CallerRequest } from '../lib/caller-request.js';
import { type RouteTable, createRouteTable } from '../lib/route-table.js';
import type { CallerAnswer } from '../lib/caller-answer.js';

export const codec: HeaderCodec = {
  readRequest: (headers) => ({
    attemptId: headers.attempt as string | undefined,
    deadlineMs: 2_000,
    key: undefined,
  }),
  readAnswer: () => ({
    attemptId: undefined,
    notRun: false,
    signed: true,
    load: undefined,
    leaving: false,
    backoffMs: undefined,
    limitPerS: undefined,
  }),
  writeRequest: () => ({}),
  writeAnswer: (attempt) => ({ attempt }),
};

export const cfg: FleetConfig = {
  version: 1,
  routes: [
    {
      name: 'r',
      host: 'a.example',
      pathPrefix: '/p/',
      idempotent: true,
      timeoutMs: 1_000,
      objectiveMs: 500,
      maxAttempts: 2,
      priority: 0,
      allowedRegions: [],
      hasLargeBodies: false,
      targets: [{ service: 's', weight: 1 }],
    },
  ],
  services: [],
  limits: { maxHeaderBytes: 1_000, maxBodyBytes: 10, headerTimeoutMs: 900, idleTimeoutMs: 900 },
};

export function serverAnswer(body: string, framed: boolean): CallerAnswer {
  const meta = {
    attemptId: 'a',
    notRun: false,
    signed: true,
    load: undefined,
    leaving: false,
    backoffMs: undefined,
    limitPerS: undefined,
  };
  const answer = {
    status: 200,
    headers: { signature: 's' },
    body: Buffer.from(body),
    framed,
    meta,
  };
  return { kind: 'server', answer, server: 'i-1' };
}

export async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** A listener and its port. */
export interface Running {
  readonly port: number;
  readonly listener: CallerListener;
  /** Connections that the listener closed and that have ended. */
  readonly closed: readonly ClosedConnection[];
  /** Waits of input and of answers. */
  readonly waits: readonly ListenerWait[];
}

/** Errors that were passed to `onUnexpectedError`. */
export const unexpectedErrors: unknown[] = [];

export async function listen(
  handle: (req: CallerRequest) => Promise<CallerAnswer>,
  routes: RouteTable | undefined = createRouteTable(cfg),
  readDelayMs = 0,
  stopsAt = Infinity,
): Promise<Running> {
  const port = await freePort();
  const closed: ClosedConnection[] = [];
  const waits: ListenerWait[] = [];
  const listener = await createCallerListener(
    {
      codec,
      routes: () => routes,
      handle,
      now: () => performance.now(),
      stopsAt: () => stopsAt,
      readDelayMs: () => readDelayMs,
      onAnswer: () => undefined,
      onWaited: (it) => waits.push(it),
      onUnexpectedError: (err) => unexpectedErrors.push(err),
      onConnectionClosed: (it) => closed.push(it),
    },
    '127.0.0.1',
    port,
  );
  return { port, listener, closed, waits };
}

/** Creates a promise and the function that resolves it. */
export function deferred<T>(): { promise: Promise<T>; resolve: (value: T) => void } {
  let settle: ((value: T) => void) | undefined;
  const promise = new Promise<T>((resolve) => {
    settle = resolve;
  });
  return { promise, resolve: (value) => settle?.(value) };
}

/** Sends text on one connection and returns everything received until it closes. */
export function exchange(port: number, text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', (chunk) => (received += String(chunk)));
    socket.on('close', () => {
      resolve(received);
    });
    socket.on('error', reject);
    socket.write(text);
  });
}

export const get = (path: string, id: string, more = '') =>
  `GET ${path} HTTP/1.1\r\nhost: a.example\r\nattempt: ${id}\r\n${more}\r\n`;
export const CLOSE_HEADER = 'connection: close\r\n';
