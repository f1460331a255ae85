import { test } from 'node:test';

import { expect } from 'earl';

import { FIRST_EPOCH, Scenario, seat, until } from './fake-context.js';

const ALONE = { acting: seat('r1', 1), nextEpoch: 2 };
const STEP_TO_RECORDED = 2;
const ORDER = { shard: 1, epoch: FIRST_EPOCH, to: 's3' };

const HANG_AFTER_MS = 20_000;

test(
  'a shard on the move is not moved again, and the first order completes',
  { timeout: HANG_AFTER_MS },
  async () => {
    await using it = await Scenario.create({ keeper: ALONE });
    await it.runUntilHeld();
    await until('the keeper acts', () => it.session.isActing());
    it.server.isBusy = true;
    const first = it.session.moveAway([ORDER], 'first');
    const isAsked = () => it.server.seen.some((seen) => seen.req.release.length > 0);
    await until('the release was asked for', isAsked);
    const second = await it.session.moveAway([{ ...ORDER, to: 's2' }], 'second');
    expect(second.isErr() && second.error.reason).toEqual('moved-before');
    expect(it.isRecordedAtOwner(FIRST_EPOCH)).toEqual(true);
    it.server.isBusy = false;
    expect((await first).isOk()).toEqual(true);
    const moved = it.recorded().find((shard) => shard.shard === ORDER.shard);
    expect(moved?.owner).toEqual('s3');
    expect(moved?.epoch).toEqual(FIRST_EPOCH + STEP_TO_RECORDED);
  },
);

test('an order for an older epoch is refused and releases nothing', async () => {
  await using it = await Scenario.create({ keeper: ALONE });
  await it.runUntilHeld();
  await until('the keeper acts', () => it.session.isActing());
  const moved = await it.session.moveAway([{ ...ORDER, epoch: FIRST_EPOCH - 1 }], 'late');
  expect(moved.isErr() && moved.error.reason).toEqual('moved-before');
  await it.turns();
  expect(it.server.seen.every((seen) => seen.req.release.length === 0)).toEqual(true);
});

test('a move waits for the release while requests still run', async () => {
  await using it = await Scenario.create({ keeper: ALONE });
  await it.runUntilHeld();
  await until('the keeper acts', () => it.session.isActing());
  it.server.isBusy = true;
  const moving = it.session.moveAway([ORDER], 'busy');
  const asked = () => it.server.seen.filter((seen) => seen.req.release.length > 0).length;
  await until('the release was asked for again', () => asked() >= 4);
  expect(it.isRecordedAtOwner(FIRST_EPOCH)).toEqual(true);
  it.server.isBusy = false;
  expect((await moving).isOk()).toEqual(true);
});
