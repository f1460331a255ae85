import { test } from 'node:test';

import { expect } from 'earl';

import { loadFleetSettings } from '../lib/fleet-settings.js';

const SETTINGS = `
[instance]
id = "router-1"
availability_zone = "z1"
region = "r1"
[regions]
"z1" = "r1"
[listen]
callers = "10.0.0.1:8000"
readiness = "10.0.0.1:8001"
peers = "10.0.0.1:8002"
[store]
address = "10.0.0.9:8003"
[shutdown]
grace_s = 6.5
[drain]
notice_ms = 2500
[retries]
ratio = 0.2
slack = 64
window_s = 10
`;

test('settings are read with names in camelCase', () => {
  const settings = loadFleetSettings(SETTINGS)._unsafeUnwrap();
  expect(settings.instance.availabilityZone).toEqual('z1');
  expect(settings.shutdown.graceMs).toEqual(6_500);
  expect(settings.retries.windowMs).toEqual(10_000);
});

test('all problems are reported together', () => {
  const wrong = SETTINGS.replace('10.0.0.1:8000', 'nowhere')
    .replace('grace_s = 6.5', 'grace_s = -1')
    .replace('[drain]', '[drain]\ncolour = "red"');
  const problems = loadFleetSettings(wrong)._unsafeUnwrapErr().problems;
  expect(problems.map((it) => it.path)).toEqual([
    'listen.callers',
    'shutdown.grace_s',
    'drain.colour',
  ]);
});

test('text that is not TOML is refused', () => {
  expect(loadFleetSettings('[[').isErr()).toEqual(true);
});

test('distances have defaults and must not be negative', () => {
  const settings = loadFleetSettings(SETTINGS)._unsafeUnwrap();
  expect(settings.distance).toEqual({ zone: 0.1, region: 0.5 });
  const own = loadFleetSettings(`${SETTINGS}[distance]\nzone = 0.3\n`)._unsafeUnwrap();
  expect(own.distance).toEqual({ zone: 0.3, region: 0.5 });
  const wrong = loadFleetSettings(`${SETTINGS}[distance]\nregion = -1\n`)._unsafeUnwrapErr();
  expect(wrong.problems.map((it) => it.path)).toEqual(['distance.region']);
});
