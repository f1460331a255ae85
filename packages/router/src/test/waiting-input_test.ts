import { type Socket, connect } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'earl';

import type { CallerRequest } from '../lib/caller-request.js';
import { get, listen, serverAnswer } from './listener-harness.js';

/** More requests than a connection may have in progress before any answer is known. */
const PIPELINED = 8;
/** Time between two requests of a pipeline, so that each comes in a read of its own. */
const REQUEST_INTERVAL_MS = 20;
/** Time in which the router has to know that a caller has left, in milliseconds. */
const NOTICE_MS = 500;

const LEAVES: readonly [name: string, leave: (socket: Socket) => void][] = [
  ['closes its connection', (socket) => socket.destroy()],
  ['ends its sending side', (socket) => socket.end()],
  ['resets its connection', (socket) => socket.resetAndDestroy()],
];

/** Sends requests one by one on a connection, without waiting for answers. */
async function pipeline(port: number): Promise<Socket> {
  const socket = connect({ port, host: '127.0.0.1', noDelay: true });
  socket.on('error', () => undefined);
  for (let index = 0; index < PIPELINED; index += 1) {
    socket.write(get('/p/', `r${index}`));
    await sleep(REQUEST_INTERVAL_MS);
  }
  return socket;
}

for (const [name, leave] of LEAVES) {
  // Guards against requests that are worked on, and sent on seconds later, for a caller that left
  // while requests of its pipeline waited to be parsed.
  test(`a caller with requests that wait to be parsed is noticed when it ${name}`, async () => {
    const handled: CallerRequest[] = [];
    const { port, listener } = await listen((req) => {
      handled.push(req);
      return new Promise(() => undefined);
    });
    const socket = await pipeline(port);
    expect(handled.length).toBeLessThan(PIPELINED);
    leave(socket);
    await sleep(NOTICE_MS);
    expect(handled.filter((it) => !it.disconnectSignal.aborted)).toEqual([]);
    expect(listener.openConnections()).toEqual(0);
  });
}

// Guards against a request that is held beyond its caller's deadline, and sent on when nobody waits
// for it any more, because its time counts from the end of its wait for those before it.
test('the time of a request that waited to be parsed counts from when it was read', async () => {
  const ages: number[] = [];
  const waitMs = 400;
  const { port, listener } = await listen(async (req) => {
    ages.push(performance.now() - req.arrivedAt);
    await sleep(waitMs);
    return serverAnswer('', true);
  });
  const socket = await pipeline(port);
  socket.resume();
  while (ages.length < PIPELINED) await sleep(REQUEST_INTERVAL_MS);
  const last = ages.at(-1) ?? 0;
  expect(last).toBeGreaterThanOrEqual(waitMs / 2);
  socket.destroy();
  await listener.drain();
});
