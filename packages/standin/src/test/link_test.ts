import { test } from 'node:test';

import { expect } from 'earl';
import { Hono } from 'hono';
import { Agent, request } from 'undici';

import { createLink } from '../lib/harness/link.js';
import { listen, type NodeEnv } from '../lib/listen.js';

const SHORT_TIMEOUT_MS = 100;

async function setUp() {
  const app = new Hono<NodeEnv>();
  app.get('/', (c) => c.text('pong'));
  const listener = await listen(app, 0);
  const link = await createLink('a', 'b', listener.address);
  let agent = new Agent();
  async function ask(): Promise<string> {
    const signal = AbortSignal.timeout(SHORT_TIMEOUT_MS);
    const res = await request(`http://${link.address}/`, { dispatcher: agent, signal });
    return await res.body.text();
  }
  async function reconnect(): Promise<void> {
    await agent.destroy();
    agent = new Agent();
  }
  return {
    link,
    ask,
    reconnect,
    async [Symbol.asyncDispose]() {
      await agent.destroy();
      await link[Symbol.asyncDispose]();
      await listener[Symbol.asyncDispose]();
    },
  };
}

test('a dropped link gives no answer on an open connection, and works once opened', async () => {
  await using context = await setUp();
  expect(await context.ask()).toEqual('pong');
  context.link.set('drop');
  await expect(context.ask()).toBeRejected();
  context.link.set('open');
  await context.reconnect();
  expect(await context.ask()).toEqual('pong');
});

test('a reset link breaks its connections', async () => {
  await using context = await setUp();
  expect(await context.ask()).toEqual('pong');
  context.link.set('reset');
  await expect(context.ask()).toBeRejected();
});
