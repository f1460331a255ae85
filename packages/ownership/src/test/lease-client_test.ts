import { type AddressInfo, type Server, type Socket, createServer } from 'node:net';
import { test } from 'node:test';

import type { LeaseRequest } from '@boragepoint/platform';
import { expect } from 'earl';

import { createLeaseClient } from '../lib/lease-client.js';

const TIMEOUT_MS = 10_000;

/** Sends a renewal to a server that answers as `reply` does, and returns what it fails with. */
async function failureOf(reply: (socket: Socket) => void): Promise<string> {
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      reply(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await using client = createLeaseClient();
  const result = await client.send(`127.0.0.1:${port}`, {} as LeaseRequest, TIMEOUT_MS);
  server.close();
  const cause = result.isErr() ? result.error.cause : undefined;
  return cause instanceof Error ? cause.name : 'none';
}

// Guards against a faulty server that keeps the processor busy until the time of a renewal is over.
test('a renewal is given up when its answer has too many bytes besides its body', async () => {
  const failure = await failureOf((socket) => {
    socket.write('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(10_000));
  });
  expect(failure).toEqual('ResponseFramingError');
});

// Guards against a faulty server that fills the memory with the answer to a renewal until its time is
// over.
test('a renewal is given up when its answer is too large', async () => {
  const failure = await failureOf((socket) => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 40000000\r\n\r\n');
    socket.write(Buffer.alloc(20 << 20, ' '));
  });
  expect(failure).toEqual('OversizedBodyError');
});
