import { test } from 'node:test';

import {
  type PlacementMember,
  type ReachRequest,
  createPlacementPeers,
} from '@boragepoint/placement';
import type { OrderOutcome } from '@boragepoint/platform';
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

// Guards against a proof of an end that gets lost, or made up, between two routers.
test('what a router finds at a server reaches the leader that asked', async () => {
  const release = { first: 3, last: 9, fence: 2 ** 40 };
  const asked: ReachRequest[] = [];
  const outcomes: OrderOutcome[] = [
    { kind: 'done', handover: 'state' },
    { kind: 'done', handover: undefined },
    { kind: 'closed' },
    { kind: 'misdirected' },
    { kind: 'refused' },
  ];
  const left = [...outcomes];
  const member = {
    reachServer(req: ReachRequest) {
      asked.push(req);
      return Promise.resolve(left.shift() ?? { kind: 'unanswered' });
    },
  } as unknown as PlacementMember;
  const [address = ''] = await reserveAddresses(1);
  const context = { member, rowsSince: () => undefined };
  const listener = await createPeerListener(context, '127.0.0.1', portOf(address));
  using peers = createPlacementPeers();
  const target = { serverId: 's', address: '127.0.0.1:80' };
  const req = { target, release, timeoutMs: 900 };
  const found: OrderOutcome[] = [];
  while (found.length < outcomes.length) found.push(await peers.reachServer(address, req));
  expect(found).toEqual([...outcomes.slice(0, 4), { kind: 'unanswered' }]);
  expect(asked[0]).toEqual(req);
  await peers.reachServer(address, { target, timeoutMs: 500 });
  expect(asked.at(-1)).toEqual({ target, release: undefined, timeoutMs: 500 });
  await listener[Symbol.asyncDispose]();
  expect(await peers.reachServer(address, req)).toEqual({ kind: 'unanswered' });
});
