import { test } from 'node:test';

import { expect } from 'earl';
import * as v from 'valibot';

import { serviceConfigSchema } from '../index.js';

const MINIMAL = {
  name: 'vitrina',
  shards: 64,
  key: { from: 'path', segment: 1 },
  rules: [{ name: 'browse', method: 'GET', path: '/**', idempotent: true, deadlineMs: 800 }],
  backendServers: [
    { id: 'vitrina-1', address: '127.0.0.1:9100', availabilityZone: 'cusco', region: 'sierra' },
  ],
};

test('a minimal service gets the documented defaults', () => {
  const service = v.parse(serviceConfigSchema, MINIMAL);
  expect(service.lease).toEqual({ leaseMs: 700, renewEveryMs: 100, tenureMs: 120_000 });
  expect(service.checksOrders).toEqual(true);
});

test('a number of shards that is not a power of two is refused', () => {
  const parsed = v.safeParse(serviceConfigSchema, { ...MINIMAL, shards: 48 });
  expect(parsed.success).toEqual(false);
});
