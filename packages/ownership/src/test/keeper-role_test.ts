import { test } from 'node:test';

import { expect } from 'earl';

import { monotonicMs } from '../lib/pause.js';
import { STANDBY_TAKEOVER_AFTER_MS } from '../lib/role-holder.js';
import { Scenario, routerOf, role, waitUntil } from './fake-context.js';

const STANDBY_EPOCH = 2;
const WITH_STANDBY = {
  acting: role('r1', 1),
  standby: role('r2', STANDBY_EPOCH),
  nextEpoch: 3,
};

function wasRefused(scenario: Scenario): boolean {
  return scenario.server.receivedUnder(1).some((renewal) => !renewal.accepted);
}

test('a refused keeper waits for a live standby, and takes new epochs once it is unreachable', async () => {
  await using scenario = await Scenario.create({ keeper: WITH_STANDBY });
  scenario.startHeartbeats('r2');
  await scenario.runUntilHeld();
  scenario.server.keeperEpoch = STANDBY_EPOCH;
  await waitUntil('the keeper was refused', () => wasRefused(scenario));
  await scenario.nextIterations();
  expect(scenario.keeperRow().acting).toEqual(role('r1', 1));
  expect(scenario.server.receivedUnder(3)).toEqual([]);
  scenario.stopHeartbeats('r2');
  scenario.ctx.membership.connectionLost('r2');
  await waitUntil('new epochs are in use', () => scenario.server.receivedUnder(3).length > 0);
  expect(scenario.keeperRow().acting).toEqual(role('r1', 3));
  expect(scenario.server.receivedUnder(3).every((renewal) => renewal.accepted)).toEqual(true);
});

test('a standby renews only once the acting keeper is silent, then enters the row', async () => {
  await using scenario = await Scenario.create({ self: 'r2', keeper: WITH_STANDBY });
  scenario.startHeartbeats('r1');
  scenario.run();
  await scenario.nextIterations();
  expect(scenario.server.received).toEqual([]);
  scenario.stopHeartbeats('r1');
  await waitUntil('the row names the standby', () => scenario.keeperRow().acting.router === 'r2');
  const first = scenario.server.receivedUnder(STANDBY_EPOCH)[0];
  const silentMs = (first?.at ?? 0) - (scenario.lastHeartbeatAt.get('r1') ?? Infinity);
  expect(silentMs >= STANDBY_TAKEOVER_AFTER_MS).toEqual(true);
  expect(scenario.keeperRow().acting).toEqual(role('r2', STANDBY_EPOCH));
});

test('a standby that has stood down never renews under its epoch', async () => {
  await using scenario = await Scenario.create({ self: 'r2', keeper: WITH_STANDBY });
  scenario.startHeartbeats('r1');
  scenario.run();
  await scenario.nextIterations();
  expect(scenario.session.standDown()).toEqual({ accepted: true, hasActed: false });
  scenario.stopHeartbeats('r1');
  const { id, incarnation } = routerOf('r1');
  const silentMs = () => scenario.ctx.membership.silentForMs(id, incarnation);
  await waitUntil('the keeper is silent', () => silentMs() > STANDBY_TAKEOVER_AFTER_MS);
  await scenario.nextIterations();
  expect(scenario.server.received).toEqual([]);
});

test('a standby that had taken over stops renewing once it has stood down', async () => {
  await using scenario = await Scenario.create({ self: 'r2', keeper: WITH_STANDBY });
  scenario.table.mode = 'down';
  scenario.run();
  await waitUntil(
    'the standby renews',
    () => scenario.server.receivedUnder(STANDBY_EPOCH).length > 2,
  );
  expect(scenario.session.standDown()).toEqual({ accepted: true, hasActed: true });
  const stoodDownAt = monotonicMs();
  await scenario.nextIterations();
  const later = scenario.server.received.filter((renewal) => renewal.at > stoodDownAt);
  expect(later).toEqual([]);
});

test('the acting keeper refuses to stand down', async () => {
  await using scenario = await Scenario.create({ keeper: WITH_STANDBY });
  scenario.startHeartbeats('r2');
  await scenario.runUntilHeld();
  expect(scenario.session.standDown()).toEqual({ accepted: false, hasActed: true });
});
