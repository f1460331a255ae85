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
  /** Port of the listener for callers. */
  readonly callerPort: number;
  /**
   * Shuts down gracefully. The router reports at once that it is not ready, and hands over its
   * keeper roles. It keeps listening for the notice time of the settings, since the load balancer
   * in front notices the change with a delay. Then requests in flight finish; those that remain
   * after the drain timeout of the settings are aborted.
   */
  shutDown(): Promise<void>;
}

/**
 * Starts a router.
 *
 * @param token Bearer token of the operators' API.
 */
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
      log.error("unexpected error in a request to the operators' API", { cause });
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
