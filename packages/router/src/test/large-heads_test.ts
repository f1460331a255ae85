import { type Socket, connect } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'earl';

import { createCallerListener } from '../lib/caller-listener.js';
import { createClientBudget } from '../lib/client-budget.js';
import { createRouteTable } from '../lib/route-table.js';
import {
  CLOSE_HEADER,
  cfg,
  codec,
  exchange,
  freePort,
  get,
  serverAnswer,
} from './listener-harness.js';

const MEGABYTE = 1_000_000;
const BUDGET_BYTES = 16 * MEGABYTE;
/** Part of the budget for requests. */
const REQUESTS_BYTES = BUDGET_BYTES * 0.25;
const CONNECTIONS = 200;
/** Header fields below the limit of the HTTP library. */
const MANY_FIELDS = Array.from({ length: 1_900 }, (_, field) => `f${field}:\r\n`).join('');
/** What the HTTP library holds at least for such a head, in bytes. */
const HEAD_BYTES = 100_000;
/** Time in which a state has to be reached, in milliseconds. */
const WAIT_MS = 10_000;

const limits = { ...cfg.limits, maxHeaderBytes: 32_768, maxBodyBytes: 1_000 };
const START = 'POST /p/x HTTP/1.1\r\nhost: a.example\r\nattempt: a\r\n';
const LARGE_HEADS: Readonly<Record<string, string>> = {
  'unfinished heads': `${START}${MANY_FIELDS}`,
  'heads whose bodies are not sent': `${START}content-length: 9\r\n${MANY_FIELDS}\r\n`,
  'unfinished trailers': `${START}transfer-encoding: chunked\r\n\r\n0\r\n${MANY_FIELDS}`,
};

async function until(condition: () => boolean): Promise<void> {
  const end = performance.now() + WAIT_MS;
  while (!condition() && performance.now() < end) await sleep(5);
}

for (const [title, input] of Object.entries(LARGE_HEADS)) {
  // Guards against clients that each hold the objects of a large head in the HTTP library, until the
  // process ends: a head counted as 8 KiB, and that of the first request was not checked.
  test(`connections with ${title} are closed beyond the budget, and others are served`, async (t) => {
    const port = await freePort();
    const budget = createClientBudget(BUDGET_BYTES);
    await createCallerListener(
      {
        codec,
        budget,
        routes: () => createRouteTable({ ...cfg, limits }),
        handle: () => Promise.resolve(serverAnswer('ok', true)),
        now: () => performance.now(),
        stopsAt: () => Infinity,
        readDelayMs: () => 0,
        onAnswer: () => undefined,
        onWaited: () => undefined,
        onUnexpectedError: () => undefined,
        onConnectionClosed: () => undefined,
      },
      '127.0.0.1',
      port,
    );
    const open = new Set<Socket>();
    for (let count = 0; count < CONNECTIONS; count += 1) {
      const socket = connect(port, '127.0.0.1', () => socket.write(input));
      open.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => open.delete(socket));
    }
    t.after(() => {
      for (const socket of open) socket.destroy();
    });
    await until(() => open.size * HEAD_BYTES <= REQUESTS_BYTES);
    expect(open.size * HEAD_BYTES).toBeLessThanOrEqual(REQUESTS_BYTES);
    const answer = await exchange(port, get('/p/x', 'b', CLOSE_HEADER));
    expect(answer).toEqual(expect.includes('200 OK'));
    for (const socket of open) socket.destroy();
    await until(() => budget.held('requests') === 0);
    expect(budget.held('requests')).toEqual(0);
  });
}
