import { once } from 'node:events';
import type { Server as HttpServer } from 'node:http';
import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { type FleetSettings, parseIpEndpoint } from '@boragepoint/config';
import type { Result } from 'neverthrow';

import { closeServer, serveReadiness } from './http-endpoints.js';
import type { RouterLog } from './router-log.js';
import { type WaitLog, createWaitLog } from './wait-log.js';

/** Time between two tries, in milliseconds. */
const RETRY_MS = 200;

/** Reads the newest settings. */
export type ReadSettings = () => Result<FleetSettings, string>;

type ListenSettings = FleetSettings['listen'];

/** Returns whether the system refused to listen at an address, which may end without a new start. */
const isListenError = (cause: unknown) =>
  cause instanceof Error && 'syscall' in cause && cause.syscall === 'listen';

async function waitForSettings(read: ReadSettings, wait: WaitLog): Promise<FleetSettings> {
  for (;;) {
    const settings = read();
    if (settings.isOk()) return settings.value;
    wait.note(settings.error);
    await sleep(RETRY_MS);
  }
}

/** Returns why an address can't be listened at now, if so. */
async function problemOf(name: string, address: string): Promise<string | undefined> {
  const server = createServer();
  try {
    const listening = once(server, 'listening');
    server.listen(parseIpEndpoint(address));
    await listening;
    server.close();
    await once(server, 'close');
    return undefined;
  } catch (cause) {
    if (!isListenError(cause)) throw cause;
    return `${name}: ${String(cause)}`;
  }
}

/** The check of readiness of a router whose other addresses can't be had yet. */
interface EarlyReadiness {
  readonly address: string;
  readonly server: HttpServer;
}

/** Answers the check of readiness with 503 if its address can be had now. */
async function serveNotReady(address: string): Promise<EarlyReadiness | string> {
  const endpoint = parseIpEndpoint(address);
  if (!endpoint) throw new RangeError(`'${address}' is not an IP address with a port`);
  try {
    return { address, server: await serveReadiness(() => false, endpoint, 0) };
  } catch (cause) {
    if (!isListenError(cause)) throw cause;
    return `readiness: ${String(cause)}`;
  }
}

/** Waits until all addresses of the newest settings can be listened at; returns these settings. */
async function waitForAddresses(
  read: ReadSettings,
  known: FleetSettings,
  wait: WaitLog,
): Promise<FleetSettings> {
  let settings = known;
  let early: EarlyReadiness | undefined;

  async function findProblem({ readiness, peers, callers }: ListenSettings) {
    if (early && early.address !== readiness) {
      closeServer(early.server);
      early = undefined;
    }
    const served = early ?? (await serveNotReady(readiness));
    if (typeof served === 'string') return served;
    early = served;
    return (await problemOf('peers', peers)) ?? problemOf('callers', callers);
  }

  try {
    for (;;) {
      settings = read().unwrapOr(settings);
      const problem = await findProblem(settings.listen);
      if (problem === undefined) return settings;
      wait.note(problem);
      await sleep(RETRY_MS);
    }
  } finally {
    if (early) closeServer(early.server);
  }
}

/**
 * Starts a router as soon as there are usable settings and all its addresses can be listened at.
 * Until then it logs what it waits for, answers the check of readiness with 503 where it can, and
 * follows changes of the settings: a process that ended would be started again and end again.
 * Rejects if `create` fails for another reason.
 */
export async function startWhenPossible<Started>(
  read: ReadSettings,
  create: (settings: FleetSettings) => Promise<Started>,
  log: () => Pick<RouterLog, 'info' | 'error'>,
): Promise<Started> {
  const wait = createWaitLog(log);
  let settings = await waitForSettings(read, wait);
  for (;;) {
    try {
      const started = await create(settings);
      wait.over();
      return started;
    } catch (cause) {
      if (!isListenError(cause)) throw cause;
      wait.note(String(cause));
    }
    settings = await waitForAddresses(read, settings, wait);
  }
}
