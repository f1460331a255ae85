import { setTimeout as sleep } from 'node:timers/promises';

import type { Settings } from '@boragepoint/config';

import { createCallerApp } from './callers/caller-app.js';
import { type HttpListener, createHttpListener, splitAddress } from './http-listener.js';
import { createCleanupStack } from './cleanup-stack.js';
import type { Log } from './log.js';
import { createMetrics } from './metrics.js';
import { createOperations } from './operations/operations.js';
import { createOperatorApp } from './operators/index.js';
import { createPeerServer } from './peers/peer-server.js';
import { createReadiness } from './readiness.js';
import { createRouterNode } from './router-node.js';

/** A running router. */
export interface Daemon extends AsyncDisposable {
  /** Port of the callers' listener. */
  readonly callerPort: number;
  /**
   * Stops without cutting a request: not ready at once, seats handed over, listening on for the
   * notice time, since the balancer in front learns of it late; then requests in flight finish, or are
   * cut after the drain timeout of the settings.
   */
  shutDown(): Promise<void>;
}

/** Starts a router. @param token The operators' token. */
export async function createDaemon(settings: Settings, token: string, log: Log): Promise<Daemon> {
  const stack = createCleanupStack();
  const metrics = createMetrics();
  const node = stack.use(await createRouterNode(settings, log, metrics));
  const readiness = createReadiness(node);
  const { limits, listen } = settings;
  const peerAddress = splitAddress(listen.peers);
  const context = {
    ...node.peerState,
    ...node,
    metrics,
    maxBodyBytes: limits.maxBodyBytes,
    notReady: () => readiness.reasons(),
  };
  stack.use(await createPeerServer(context, peerAddress.host, peerAddress.port));
  const operatorApp = createOperatorApp({
    token,
    operations: createOperations(node, readiness),
    metrics: metrics.registry,
    onUnexpected: (cause) => {
      log.error('an operation failed unexpectedly', { cause });
    },
  });
  stack.use(await createHttpListener(operatorApp, listen.operators, limits));
  const callers: HttpListener = stack.use(
    await createHttpListener(createCallerApp(context), listen.callers, limits),
  );
  log.info('listening', { callers: callers.port });

  async function shutDown(): Promise<void> {
    readiness.leave();
    node.membership.leave();
    node.links.announce();
    callers.announceClose();
    await Promise.all([node.keepers.handOverAll(), sleep(settings.shutdown.noticeMs)]);
    const timeout = new Promise((resolve) => {
      setTimeout(resolve, settings.shutdown.drainTimeoutMs).unref();
    });
    await Promise.race([callers.drain().then(() => node.router.idle()), timeout]);
    await stack[Symbol.asyncDispose]();
  }

  return {
    callerPort: callers.port,
    shutDown,
    [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
  };
}
