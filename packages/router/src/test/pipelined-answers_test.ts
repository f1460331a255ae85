import { connect } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'earl';

import { get, listen, serverAnswer } from './listener-harness.js';

const REQUESTS = 60;
const REQUESTS_PER_WRITE = 4;
const MAX_ANSWER_MS = 5;
const CLOSE_HEADER = 'connection: close\r\n';

/** Sends requests in a pipeline, a few a write, and returns the number of answers. */
async function countAnswers(port: number): Promise<number> {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', (data) => (received += String(data)));
  for (let sent = 1; sent <= REQUESTS; sent += REQUESTS_PER_WRITE) {
    const last = sent + REQUESTS_PER_WRITE - 1;
    const ids = Array.from({ length: REQUESTS_PER_WRITE }, (_, index) => sent + index);
    const more = (id: number) => (id === last && last >= REQUESTS ? CLOSE_HEADER : '');
    socket.write(ids.map((id) => get('/p/1', `${id}`, more(id))).join(''));
    await sleep(1);
  }
  await new Promise((resolve) => socket.once('close', resolve));
  return received.split('HTTP/1.1 200').length - 1;
}

for (const bytes of [100, 5_000, 30_000, 200_000]) {
  // Guards against input that reaches the parser while the HTTP server has paused the connection: the
  // parser fails, and the requests behind it are never read.
  test(`requests in a pipeline are all answered, with answers of ${bytes} bytes`, async () => {
    const { port, listener } = await listen(async () => {
      await sleep(Math.random() * MAX_ANSWER_MS);
      return serverAnswer('x'.repeat(bytes), true);
    });
    expect(await countAnswers(port)).toEqual(REQUESTS);
    await listener.drain();
  });
}
