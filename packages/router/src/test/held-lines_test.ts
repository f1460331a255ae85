import { type AddressInfo, type Socket, createServer } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'earl';

import { createAnswerMemory } from '../lib/answer-memory.js';
import { createClientBudget } from '../lib/client-budget.js';
import { type SendOutcome, sendRequest } from '../lib/send-request.js';
import { createServerConnections } from '../lib/server-connections.js';
import { codec } from './server-codec.js';

const MEGABYTE = 1_000_000;
const BUDGET_BYTES = 10 * MEGABYTE;
const STALLING = 40;
const WAIT_MS = 5_000;
const HEAD = 'HTTP/1.1 200 OK\r\nattempt: a1\r\n';
/** Header lines below the limits of the HTTP library and of lines. */
const MANY_LINES = Array.from({ length: 1_900 }, (_, line) => `l${line}:\r\n`).join('');
const STALLED_RESPONSES: Readonly<Record<string, string>> = {
  'an unfinished head': `${HEAD}${MANY_LINES}`,
  'a head whose body stalls': `${HEAD}${MANY_LINES}content-length: 5\r\n\r\nx`,
  'unfinished trailers': `${HEAD}transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n${MANY_LINES}`,
};
const ORDINARY = `${HEAD}content-length: 2\r\n\r\nok`;

async function until(condition: () => boolean): Promise<void> {
  const end = performance.now() + WAIT_MS;
  while (!condition() && performance.now() < end) await sleep(5);
}

for (const [name, response] of Object.entries(STALLED_RESPONSES)) {
  // Guards against a faulty server whose responses of many small lines stall, and whose objects in
  // the HTTP library end the process.
  test(`the lines of stalled responses stay within the memory of responses: ${name}`, async () => {
    const sockets = new Set<Socket>();
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', (data) => {
        socket.write(String(data).startsWith('GET /ordinary') ? ORDINARY : response);
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const budget = createClientBudget(BUDGET_BYTES);
    const memory = createAnswerMemory({ budget });
    const share = { connections: STALLING + 1, keepAliveMs: 4_000 };
    const connections = createServerConnections(`127.0.0.1:${port}`, share, undefined, { memory });
    const send = (path: string, signal: AbortSignal) =>
      sendRequest(
        connections,
        { method: 'GET', path, headers: [], body: undefined, attemptId: 'a1' },
        {
          codec,
          memory,
          signal,
          unsentSignal: new AbortController().signal,
          maySend: () => true,
        },
      );
    const outcomes: SendOutcome[] = [];
    const cancellations = Array.from({ length: STALLING }, () => new AbortController());
    const sends = cancellations.map(async ({ signal }) => {
      outcomes.push(await send('/', signal));
    });
    const limit = budget.limitOf('responses');
    // A response of 1,900 lines takes more than a half of a megabyte in the HTTP library.
    const mostHeld = Math.floor(limit / (MEGABYTE / 2));
    await until(() => outcomes.length >= STALLING - mostHeld);
    expect(outcomes.length).toBeGreaterThanOrEqual(STALLING - mostHeld);
    expect(outcomes.map((it) => 'why' in it && it.why)).toEqual(outcomes.map(() => 'oversized'));
    expect(budget.held('responses')).toBeLessThanOrEqual(limit);
    const ordinary = await send('/ordinary', new AbortController().signal);
    expect(ordinary.kind).toEqual('answer');
    for (const it of cancellations) it.abort();
    await Promise.all(sends);
    await until(() => budget.held('responses') === 0);
    expect(budget.held('responses')).toEqual(0);
    connections.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
}
