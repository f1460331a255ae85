import { test } from 'node:test';

import { expect } from 'earl';

import { createLeaseRenewer } from '../lib/lease-renewer.js';
import { monotonicMs } from '../lib/pause.js';
import { LEASE, Scenario, isMove, role, waitUntil } from './fake-context.js';
import { createFakeLeaseClient } from './fake-server.js';

const WITH_STANDBY = { acting: role('r1', 1), standby: role('r2', 2), nextEpoch: 3 };

// Guards against a move while the backend server still has a lease. A standby that was removed from
// the row may renew until its tenure ends, since it may not have read the new row yet. A keeper that
// counted the lease from the removal, and not from the end of that tenure, would move too early.
test('a lease that a removed standby renewed at its tenure’s end lapses before the move', async () => {
  await using scenario = await Scenario.create({ keeper: WITH_STANDBY });
  scenario.startHeartbeats('r2');
  scenario.peers.standby = undefined;
  let removedAt: number | undefined;
  let leaseLeftAtMove: number | undefined;
  scenario.table.onCommit = (writes) => {
    if (isMove(writes)) leaseLeftAtMove ??= scenario.server.leaseEndsAt - monotonicMs();
    else removedAt ??= monotonicMs();
  };
  await scenario.runUntilHeld();
  scenario.stopHeartbeats('r2');
  scenario.ctx.membership.connectionLost('r2');
  scenario.server.onlyKeeper = 'r2';
  const client = createFakeLeaseClient(new Map([['s1', scenario.server]]));
  const standby = createLeaseRenewer(client, 'r2', 2);
  const renewal = {
    address: 's1',
    leaseMs: LEASE.leaseMs,
    timeoutMs: 100,
    grants: [],
    release: [],
  };
  await waitUntil('the move is recorded', () => {
    const tenureEndsAt = (removedAt ?? monotonicMs()) + LEASE.tenureMs;
    if (monotonicMs() < tenureEndsAt) void standby.renew(renewal);
    return leaseLeftAtMove !== undefined;
  });
  expect(standby.lastAnswer()?.accepted).toEqual(true);
  expect((leaseLeftAtMove ?? Infinity) <= 0).toEqual(true);
});
