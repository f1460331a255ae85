import { test } from 'node:test';

import { RESULT_CODES } from '@boragepoint/config';
import { expect } from 'earl';

import { type CallerAppContext, createCallerApp } from '../lib/callers/caller-app.js';

function createApp(notReady: string[]) {
  const ctx = { map: { service: () => undefined }, notReady: () => notReady };
  return createCallerApp(ctx as unknown as CallerAppContext);
}

async function resultOf(notReady: string[]): Promise<number> {
  const env = { incoming: { url: '/caja/payments', method: 'GET' }, outgoing: {} };
  const res = await createApp(notReady).request('/caja/payments', {}, env);
  return Number(res.headers.get('bp-result'));
}

test('a router without a configuration answers that it is not ready, not that a service is unknown', async () => {
  expect(await resultOf(['no configuration was read'])).toEqual(RESULT_CODES.routerNotReady);
});

test('a router that is ready answers that a service is unknown', async () => {
  expect(await resultOf([])).toEqual(RESULT_CODES.unknownService);
});
