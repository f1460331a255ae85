import { type Server, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';

import { expect } from 'earl';

import { type ProbeResult, createServerProbe } from '../lib/server-probe.js';

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return `127.0.0.1:${port}`;
}

test('a process that listens is told from one that is over', async () => {
  const server = createServer((socket) => socket.on('error', () => undefined));
  const address = await listen(server);
  const probe = createServerProbe();
  expect(await probe.check(address)).toEqual('listens');
  await new Promise((resolve) => server.close(resolve));
  expect(await probe.check(address)).toEqual('refused');
});

// Guards against a process that passes for alive because its listener was closed a moment after its connections.
test('a connection that the end of its process drops does not prove that it lives', async () => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    server.close();
    socket.resetAndDestroy();
  });
  expect(await createServerProbe().check(await listen(server))).toEqual('refused');
});

test('a process that drops each connection listens all the same', async () => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.resetAndDestroy();
  });
  expect(await createServerProbe().check(await listen(server))).toEqual('listens');
  await new Promise((resolve) => server.close(resolve));
});

// Guards against a look that began before the process ended and tells of its former life.
test('a look during another one is a look of its own, and shared by those that wait for it', async () => {
  const opened: ((result: ProbeResult) => void)[] = [];
  const probe = createServerProbe(() => new Promise((resolve) => opened.push(resolve)));
  const first = probe.check('a');
  const [second, third] = [probe.check('a'), probe.check('a')];
  opened[0]?.('listens');
  expect(await first).toEqual('listens');
  expect(opened.length).toEqual(2);
  opened[1]?.('refused');
  expect(await Promise.all([second, third])).toEqual(['refused', 'refused']);
});
