import { createServer } from 'node:http2';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';

import { PlacementService } from '@boragepoint/protocol';
import type { ServiceImpl } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { expect } from 'earl';

import { createPlacementPeers } from '../lib/placement-peers.js';

const TIMEOUT_MS = 5_000;

/** Starts a router that answers as told. */
async function startRouter(service: Partial<ServiceImpl<typeof PlacementService>>) {
  const server = createServer(
    connectNodeAdapter({ routes: (router) => router.service(PlacementService, service) }),
  );
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    [Symbol.asyncDispose]: () =>
      new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
        });
      }),
  };
}

// Guards against a call that throws: the task that made it ended.
test('a router at an address that cannot be called does not answer', async () => {
  using peers = createPlacementPeers();
  for (const address of ['127.0.0.1:70000', '127.0.0.999:80', '127.0.0.1:0', 'no address', '']) {
    expect(await peers.report(address, {}, TIMEOUT_MS)).toEqual(undefined);
    expect(await peers.requestStepDown(address, 1, 1, TIMEOUT_MS)).toEqual({ kind: 'silent' });
    expect(await peers.rowsSince(address, 't', 0)).toEqual(undefined);
    expect(await peers.shareSuspects(address, { runs: [], from: 'a' }, TIMEOUT_MS)).toEqual(
      undefined,
    );
  }
});

// Guards against addresses and ranges that reach requests, other routers and the stored row.
test("odd parts of another router's answer are left out, and the others are used", async () => {
  const range = (first: number, last: number) => ({ first, last, owner: 'a', granted: true });
  await using router = await startRouter({
    report: () => ({
      leads: true,
      epoch: 3n,
      change: 4n,
      peers: ['10.0.0.2:7', '10.0.0.2:70000', '10.0.0.999:7'],
      leader: { router: 'r', address: '10.0.0.2:70000', epoch: 4n },
      tables: [
        { table: 't', answers: true, version: 2n ** 64n - 1n },
        { table: 'u', answers: true, version: 7n },
      ],
      servers: { version: 2n ** 64n - 1n },
      services: [{ service: 's', ranges: [range(0, 9), range(20, 12), range(30, 70_000)] }],
    }),
  });
  using peers = createPlacementPeers();
  const answer = await peers.report(router.address, {}, TIMEOUT_MS);
  expect(answer?.peers).toEqual(['10.0.0.2:7']);
  expect(answer?.leader).toEqual(undefined);
  expect(answer?.tables.map((it) => it.table)).toEqual(['u']);
  expect(answer?.servers).toEqual(undefined);
  expect(answer?.view?.services.get('s')?.map((it) => it.first)).toEqual([0]);
});

// Guards against an epoch that no later leader can exceed.
test('an answer whose epoch or change is out of range is no answer', async () => {
  for (const odd of [{ epoch: 2n ** 63n }, { change: 2n ** 64n - 1n }, { startedMs: -1n }]) {
    await using router = await startRouter({ report: () => ({ leads: true, ...odd }) });
    using peers = createPlacementPeers();
    expect(await peers.report(router.address, {}, TIMEOUT_MS)).toEqual(undefined);
  }
});

// Guards against rows that a router can neither order nor pass on.
test('rows of another router with a version out of range are left out', async () => {
  const rowVersion = 2n ** 64n - 1n;
  await using router = await startRouter({
    async *fetchTable() {
      yield await Promise.resolve({ version: 9n, keys: ['a', 'b'] });
      yield { key: 'a', rowVersion, piece: Buffer.from('a'), endsRow: true };
      yield { key: 'b', rowVersion: 8n, piece: Buffer.from('b'), endsRow: true };
    },
  });
  using peers = createPlacementPeers();
  const delta = await peers.rowsSince(router.address, 't', 0);
  expect(delta?.changed.map((it) => it.key)).toEqual(['b']);
});
