import { test } from 'node:test';

import { expect } from 'earl';
import { Hono } from 'hono';
import { Agent, request } from 'undici';

import { createLink } from '../lib/harness/link.js';
import { listen, type NodeEnv } from '../lib/listen.js';

/** Time after which a request counts as without an answer. */
const NO_ANSWER_MS = 300;
/** Timeout of requests that are expected to end without it. */
const ANSWER_TIMEOUT_MS = 20_000;

async function setUp() {
  const app = new Hono<NodeEnv>();
  let served = 0;
  app.get('/', (c) => {
    served += 1;
    return c.text('pong');
  });
  const listener = await listen(app, 0);
  const link = await createLink('a', 'b', listener.address);
  let agent = new Agent();
  async function sendRequest(timeoutMs = ANSWER_TIMEOUT_MS): Promise<string> {
    const signal = AbortSignal.timeout(timeoutMs);
    const res = await request(`http://${link.address}/`, { dispatcher: agent, signal });
    return await res.body.text();
  }
  async function failureOf(timeoutMs?: number): Promise<string> {
    return await sendRequest(timeoutMs).catch((cause: unknown) => (cause as Error).name);
  }
  async function reconnect(): Promise<void> {
    await agent.destroy();
    agent = new Agent();
  }
  return {
    link,
    sendRequest,
    failureOf,
    reconnect,
    served: () => served,
    async [Symbol.asyncDispose]() {
      await agent.destroy();
      await link[Symbol.asyncDispose]();
      await listener[Symbol.asyncDispose]();
    },
  };
}

test('a dropped link passes no answer on an open connection, and works again when opened', async () => {
  await using context = await setUp();
  expect(await context.sendRequest()).toEqual('pong');
  context.link.set('drop');
  expect(await context.failureOf(NO_ANSWER_MS)).toEqual('TimeoutError');
  expect(context.served()).toEqual(1);
  context.link.set('open');
  await context.reconnect();
  expect(await context.sendRequest()).toEqual('pong');
});

test('a reset link resets its connections', async () => {
  await using context = await setUp();
  expect(await context.sendRequest()).toEqual('pong');
  context.link.set('reset');
  const failure = await context.failureOf();
  expect(['pong', 'TimeoutError'].includes(failure)).toEqual(false);
});
