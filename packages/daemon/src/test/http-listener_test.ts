import { test } from 'node:test';

import { reserveAddresses, portOf, runSteadyCaller, wholeAnswers } from '@boragepoint/standin';
import { expect } from 'earl';
import { Hono } from 'hono';

import { createHttpListener } from '../lib/http-listener.js';

const LIMITS = { maxHeaderBytes: 16_384, maxConnections: 100, idleTimeoutMs: 5_000 };

// Guards against answers that a close destroys: bytes of a caller that arrive at a closed connection
// reset it, and the system drops what the caller has not received yet.
test('a caller that reads slowly and writes on to the end gets the answer to each request that was handled', async () => {
  const body = 'x'.repeat(200_000);
  let handled = 0;
  let drained: Promise<void> | undefined;
  const app = new Hono();
  app.get('/', (ctx) => {
    handled += 1;
    if (handled === 20) {
      listener.announceClose();
      drained = listener.drain();
    }
    return ctx.text(body);
  });
  const [address = ''] = await reserveAddresses(1);
  const listener = await createHttpListener(app, address, LIMITS);
  const next = () => 'GET / HTTP/1.1\r\nhost: a.example\r\n\r\n';
  const pace = { sendEachMs: 5, readBytes: 40_000, readEachMs: 10 };
  const { text, end } = await runSteadyCaller({ port: portOf(address), next, ...pace });
  await drained;
  expect(end).toEqual('end');
  expect(wholeAnswers(text).length).toEqual(handled);
});
