import { once } from 'node:events';
import { type AddressInfo, createServer } from 'node:net';
import { test } from 'node:test';

import { expect } from 'earl';

import { listenWhenFree } from '../lib/listen-when-free.js';

const HOST = '127.0.0.1';

async function occupyPort() {
  const holder = createServer().listen(0, HOST);
  await once(holder, 'listening');
  return { holder, port: (holder.address() as AddressInfo).port };
}

// Guards against a router that ends by itself because a port is still held for a moment.
test('a port that is in use is listened at as soon as it is free', async () => {
  const { holder, port } = await occupyPort();
  const server = createServer();
  const failed = new Promise<void>((resolve) => {
    server.once('error', () => {
      resolve();
    });
  });
  const listening = listenWhenFree(server, { host: HOST, port });
  await failed;
  holder.close();
  await listening;
  expect((server.address() as AddressInfo).port).toEqual(port);
  server.close();
});

test('a port that stays in use is an error in the end, and so is an address that can not be used', async () => {
  const { holder, port } = await occupyPort();
  await expect(listenWhenFree(createServer(), { host: HOST, port }, 0)).toBeRejectedWith(
    'EADDRINUSE',
  );
  await expect(listenWhenFree(createServer(), { host: '192.0.2.1', port })).toBeRejectedWith(
    'EADDRNOTAVAIL',
  );
  holder.close();
});
