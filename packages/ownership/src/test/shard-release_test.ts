import { test } from 'node:test';

import { expect } from 'earl';

import { FIRST_EPOCH, Scenario, role, waitUntil } from './fake-context.js';

const WITHOUT_STANDBY = { acting: role('r1', 1), nextEpoch: 2 };
const RECORDED_EPOCH_STEP = 2;
const ORDER = { shard: 1, epoch: FIRST_EPOCH, to: 's3' };

const TEST_TIMEOUT_MS = 20_000;

test(
  'a shard that is being moved is not moved again, and the first order completes',
  { timeout: TEST_TIMEOUT_MS },
  async () => {
    await using scenario = await Scenario.create({ keeper: WITHOUT_STANDBY });
    await scenario.runUntilHeld();
    await waitUntil('the keeper renews', () => scenario.session.isRenewing());
    scenario.server.isBusy = true;
    const first = scenario.session.moveAway([ORDER], 'first');
    const isAsked = () =>
      scenario.server.received.some((renewal) => renewal.req.release.length > 0);
    await waitUntil('the release was asked for', isAsked);
    const second = await scenario.session.moveAway([{ ...ORDER, to: 's2' }], 'second');
    expect(second.isErr() && second.error.reason).toEqual('moved-before');
    expect(scenario.isRecordedAtOwner(FIRST_EPOCH)).toEqual(true);
    scenario.server.isBusy = false;
    expect((await first).isOk()).toEqual(true);
    const moved = scenario.recorded().find((shard) => shard.shard === ORDER.shard);
    expect(moved?.owner).toEqual('s3');
    expect(moved?.epoch).toEqual(FIRST_EPOCH + RECORDED_EPOCH_STEP);
  },
);

test('an order for an older epoch is refused and releases nothing', async () => {
  await using scenario = await Scenario.create({ keeper: WITHOUT_STANDBY });
  await scenario.runUntilHeld();
  await waitUntil('the keeper renews', () => scenario.session.isRenewing());
  const moved = await scenario.session.moveAway([{ ...ORDER, epoch: FIRST_EPOCH - 1 }], 'late');
  expect(moved.isErr() && moved.error.reason).toEqual('moved-before');
  await scenario.nextIterations();
  expect(scenario.server.received.every((renewal) => renewal.req.release.length === 0)).toEqual(
    true,
  );
});

test('a move waits for the release while requests still run', async () => {
  await using scenario = await Scenario.create({ keeper: WITHOUT_STANDBY });
  await scenario.runUntilHeld();
  await waitUntil('the keeper renews', () => scenario.session.isRenewing());
  scenario.server.isBusy = true;
  const moving = scenario.session.moveAway([ORDER], 'busy');
  const asked = () =>
    scenario.server.received.filter((renewal) => renewal.req.release.length > 0).length;
  await waitUntil('the release was asked for again', () => asked() >= 4);
  expect(scenario.isRecordedAtOwner(FIRST_EPOCH)).toEqual(true);
  scenario.server.isBusy = false;
  expect((await moving).isOk()).toEqual(true);
});
