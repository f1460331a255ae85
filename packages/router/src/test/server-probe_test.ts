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

test('a listening process is distinguished from one that has ended', async () => {
  const server = createServer((socket) => socket.on('error', () => undefined));
  const address = await listen(server);
  const probe = createServerProbe();
  expect(await probe.check(address)).toEqual('listens');
  await new Promise((resolve) => server.close(resolve));
  expect(await probe.check(address)).toEqual('refused');
});

// Guards against an ended process that counts as alive because its listener closed after its
// connections.
test('a connection that an ending process drops does not prove that it listens', async () => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    server.close();
    socket.resetAndDestroy();
  });
  expect(await createServerProbe().check(await listen(server))).toEqual('refused');
});

test('a process that drops each connection still listens', async () => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.resetAndDestroy();
  });
  expect(await createServerProbe().check(await listen(server))).toEqual('listens');
  await new Promise((resolve) => server.close(resolve));
});

// Guards against the result of a check that began before the process ended.
test('a check during another one opens a connection of its own, which all waiting callers share', async () => {
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
