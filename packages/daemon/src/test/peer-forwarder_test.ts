import { test } from 'node:test';

import { type ServiceConfigInput, serviceConfigSchema } from '@boragepoint/config';
import { expect } from 'earl';
import * as v from 'valibot';

import { createPeerForwarder } from '../lib/peers/peer-forwarder.js';
import type { PeerLinks } from '../lib/peers/peer-links.js';

const SERVICE: ServiceConfigInput = {
  name: 'caja',
  shards: 1,
  key: { from: 'path', segment: 0 },
  rules: [{ name: 'pay', method: 'POST', path: '/**', idempotent: false, deadlineMs: 900 }],
  backendServers: [
    { id: 'caja-1', address: '127.0.0.1:9100', availabilityZone: 'cusco', region: 'sierra' },
  ],
};

interface CallOptions {
  readonly timeoutMs: number;
}

function createFakeLinks(answeredId: string, recordedOptions: CallOptions[]): PeerLinks {
  const forward = (_req: unknown, options: CallOptions) => {
    recordedOptions.push(options);
    return Promise.resolve({ requestId: answeredId, code: 0, status: 200, headers: [], body: [] });
  };
  return { client: () => ({ rpc: { forward } }) } as unknown as PeerLinks;
}

function forwardRequest(links: PeerLinks) {
  const service = v.parse(serviceConfigSchema, SERVICE);
  const [rule] = service.rules;
  if (rule === undefined) throw new Error('the service has no rule');
  return createPeerForwarder(links).forward('router-2', {
    requestId: 'request-1',
    service,
    rule,
    key: 'k',
    method: 'POST',
    path: '/k',
    headers: [],
    body: new Uint8Array(),
    caller: 'kiosk-1',
    isRepeat: false,
    deadlineAt: performance.now() + 900.25,
    signal: new AbortController().signal,
  });
}

test('the timeout of a forwarded request is a whole number, as the protocol requires', async () => {
  const recordedOptions: CallOptions[] = [];
  await forwardRequest(createFakeLinks('request-1', recordedOptions));
  expect(Number.isInteger(recordedOptions[0]?.timeoutMs)).toEqual(true);
});

test('an answer to another request is not accepted', async () => {
  const outcome = await forwardRequest(createFakeLinks('request-2', []));
  expect(outcome).toEqual({ kind: 'lost' });
});
