import { test } from 'node:test';

import { loadFleetSettings } from '@boragepoint/config';
import { expect } from 'earl';

import { createRouterMetrics } from '../lib/router-metrics.js';
import { settingsDigest } from '../lib/settings-digest.js';
import { IDLE_SOURCES } from './metrics-sources.js';

const settingsOf = (id: string, more = '') =>
  loadFleetSettings(`
[instance]
id = "${id}"
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
${more}`)._unsafeUnwrap();

test('instances with the same settings have the same digest, and a change alters it', () => {
  const digest = settingsDigest(settingsOf('a'));
  expect(settingsDigest(settingsOf('b'))).toEqual(digest);
  expect(settingsDigest(settingsOf('a', '[drain]\nnotice_ms = 1'))).not.toEqual(digest);
});

test('the metrics name only the active configuration and settings', async () => {
  const metrics = createRouterMetrics(IDLE_SOURCES);
  metrics.setConfigurationVersion(11);
  metrics.setConfigurationVersion(12);
  metrics.setSettingsDigest('abc');
  metrics.recordRefusedSettings();
  const text = await metrics.text();
  expect(text.includes('in_force_since_seconds{version="12"}')).toEqual(true);
  expect(text.includes('version="11"')).toEqual(false);
  expect(text.includes('in_force_since_seconds{digest="abc"}')).toEqual(true);
  expect(text.includes('boragepoint_settings_refused_total 1')).toEqual(true);
});
