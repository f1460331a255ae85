import { test } from 'node:test';

import { type PlacementMember, createPlacementPeers } from '@boragepoint/placement';
import { portOf, reserveAddresses } from '@boragepoint/standin';
import { expect } from 'earl';

import { createPeerListener } from '../lib/peer-listener.js';

const TIMEOUT_MS = 5_000;

// Guards against a router that calls, counts and passes on addresses that no connection can be
// opened to.
test('a message of a router whose address cannot be called is refused', async () => {
  const received: string[] = [];
  const member = {
    startedMs: 1,
    answerReport(req: { address: string }) {
      received.push(req.address);
      return Promise.resolve({});
    },
    receiveSuspects({ from }: { from: string }) {
      received.push(from);
      return Promise.resolve();
    },
    answerPermits(req: { address: string }) {
      received.push(req.address);
      return { leads: true };
    },
  } as unknown as PlacementMember;
  const [address = ''] = await reserveAddresses(1);
  const context = { member, rowsSince: () => undefined };
  const listener = await createPeerListener(context, '127.0.0.1', portOf(address));
  using peers = createPlacementPeers();
  for (const from of ['127.0.0.1:70000', '127.0.0.999:80', '', '127.0.0.1:80']) {
    const ask = { router: 'r', address: from, startedMs: 1, limits: [], wanted: [] };
    await peers.report(address, { address: from }, TIMEOUT_MS);
    await peers.shareSuspects(address, { runs: [], from }, TIMEOUT_MS);
    await peers.requestPermits(address, ask, TIMEOUT_MS);
  }
  expect(received).toEqual(['127.0.0.1:80', '127.0.0.1:80', '127.0.0.1:80']);
  await listener[Symbol.asyncDispose]();
});
