import { test } from 'node:test';

import { expect } from 'earl';

import { createLeaseRenewer } from '../lib/lease-renewer.js';
import { monotonicMs } from '../lib/pause.js';
import { LEASE, Scenario, isMove, seat, until } from './fake-context.js';
import { createFakeLeaseClient } from './fake-server.js';

const WITH_STANDBY = { acting: seat('r1', 1), standby: seat('r2', 2), nextEpoch: 3 };

test('a lease that a removed standby renewed at its tenure’s end lapses before the move', async () => {
  await using it = await Scenario.create({ keeper: WITH_STANDBY });
  it.beat('r2');
  it.peers.standby = undefined;
  let removedAt: number | undefined;
  let leaseLeftAtMove: number | undefined;
  it.table.onCommit = (writes) => {
    if (isMove(writes)) leaseLeftAtMove ??= it.server.leaseEndsAt - monotonicMs();
    else removedAt ??= monotonicMs();
  };
  await it.runUntilHeld();
  it.silence('r2');
  it.ctx.membership.connectionLost('r2');
  it.server.onlyFrom = 'r2';
  const client = createFakeLeaseClient(new Map([['s1', it.server]]));
  const standby = createLeaseRenewer(client, 'r2', 2);
  const renewal = {
    address: 's1',
    leaseMs: LEASE.leaseMs,
    timeoutMs: 100,
    grants: [],
    release: [],
  };
  await until('the move is recorded', () => {
    const tenureEndsAt = (removedAt ?? monotonicMs()) + LEASE.tenureMs;
    if (monotonicMs() < tenureEndsAt) void standby.renew(renewal);
    return leaseLeftAtMove !== undefined;
  });
  expect(standby.lastAnswer()?.accepted).toEqual(true);
  expect((leaseLeftAtMove ?? Infinity) <= 0).toEqual(true);
});
