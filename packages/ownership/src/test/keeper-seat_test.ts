import { test } from 'node:test';

import { expect } from 'earl';

import { monotonicMs } from '../lib/pause.js';
import { STEP_IN_AFTER_MS } from '../lib/seat-holder.js';
import { Scenario, routerOf, seat, until } from './fake-context.js';

const STANDBY_EPOCH = 2;
const WITH_STANDBY = {
  acting: seat('r1', 1),
  standby: seat('r2', STANDBY_EPOCH),
  nextEpoch: 3,
};

function wasRefused(it: Scenario): boolean {
  return it.server.seenUnder(1).some((seen) => !seen.accepted);
}

test('a refused keeper takes new epochs only once its standby is out of reach', async () => {
  await using it = await Scenario.create({ keeper: WITH_STANDBY });
  it.beat('r2');
  await it.runUntilHeld();
  it.server.keeperEpoch = STANDBY_EPOCH;
  await until('the keeper was refused', () => wasRefused(it));
  await it.turns();
  expect(it.keeperRow().acting).toEqual(seat('r1', 1));
  expect(it.server.seenUnder(3)).toEqual([]);
  it.silence('r2');
  it.ctx.membership.connectionLost('r2');
  await until('new epochs are in use', () => it.server.seenUnder(3).length > 0);
  expect(it.keeperRow().acting).toEqual(seat('r1', 3));
  expect(it.server.seenUnder(3).every((seen) => seen.accepted)).toEqual(true);
});

test('a standby renews only after the acting keeper was silent, then enters the row', async () => {
  await using it = await Scenario.create({ self: 'r2', keeper: WITH_STANDBY });
  it.beat('r1');
  it.run();
  await it.turns();
  expect(it.server.seen).toEqual([]);
  it.silence('r1');
  await until('the row names the standby', () => it.keeperRow().acting.router === 'r2');
  const first = it.server.seenUnder(STANDBY_EPOCH)[0];
  const silentMs = (first?.at ?? 0) - (it.lastBeatAt.get('r1') ?? Infinity);
  expect(silentMs >= STEP_IN_AFTER_MS).toEqual(true);
  expect(it.keeperRow().acting).toEqual(seat('r2', STANDBY_EPOCH));
});

test('a standby that has promised never renews under its epoch', async () => {
  await using it = await Scenario.create({ self: 'r2', keeper: WITH_STANDBY });
  it.beat('r1');
  it.run();
  await it.turns();
  expect(it.session.standDown()).toEqual({ accepted: true, hasActed: false });
  it.silence('r1');
  const { id, incarnation } = routerOf('r1');
  const silence = () => it.ctx.membership.silenceOf(id, incarnation);
  await until('the keeper is silent', () => silence() > STEP_IN_AFTER_MS);
  await it.turns();
  expect(it.server.seen).toEqual([]);
});

test('a standby that had stepped in stops renewing once it has promised', async () => {
  await using it = await Scenario.create({ self: 'r2', keeper: WITH_STANDBY });
  it.table.mode = 'down';
  it.run();
  await until('the standby renews', () => it.server.seenUnder(STANDBY_EPOCH).length > 2);
  expect(it.session.standDown()).toEqual({ accepted: true, hasActed: true });
  const promisedAt = monotonicMs();
  await it.turns();
  const later = it.server.seen.filter((seen) => seen.at > promisedAt);
  expect(later).toEqual([]);
});

test('the acting keeper refuses to stand down', async () => {
  await using it = await Scenario.create({ keeper: WITH_STANDBY });
  it.beat('r2');
  await it.runUntilHeld();
  expect(it.session.standDown()).toEqual({ accepted: false, hasActed: true });
});
