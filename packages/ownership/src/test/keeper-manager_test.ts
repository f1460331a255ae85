import { test } from 'node:test';

import { expect } from 'earl';

import { createKeeperManager } from '../lib/keeper-manager.js';
import type { KeeperSession } from '../lib/keeper-session.js';
import { Scenario, role, waitUntil } from './fake-context.js';

const KEEPER = { acting: role('r1', 1), standby: role('r2', 2), nextEpoch: 3 };

async function startManager(scenario: Scenario) {
  scenario.startHeartbeats('r1');
  const manager = createKeeperManager(scenario.ctx);
  // The scenario disposes of its session, which is the manager here.
  scenario.session = manager as unknown as KeeperSession;
  await waitUntil('the standby has a session', () => manager.session('s1') !== undefined);
  return manager;
}

test(
  'a standby that stood down takes new epochs when the keeper is lost afterwards',
  { timeout: 20_000 },
  async () => {
    await using scenario = await Scenario.create({ self: 'r2', keeper: KEEPER });
    const manager = await startManager(scenario);
    expect(manager.standDown('s1', 'r1', 1)).toEqual({ accepted: true, hasActed: false });
    scenario.stopHeartbeats('r1');
    await waitUntil('the standby is the keeper', () => scenario.keeperRow().acting.router === 'r2');
    expect(scenario.keeperRow().acting.epoch).toEqual(3);
  },
);

test('a router promises nothing to a requester that the row does not name', async () => {
  await using scenario = await Scenario.create({ self: 'r2', keeper: KEEPER });
  const manager = await startManager(scenario);
  expect(manager.standDown('s1', 'r3', 1).accepted).toEqual(false);
});
