/**
 * The photo kiosks of Llaqta: three services in six availability zones of three regions.
 *
 *     node examples/dist/llaqta.js | boragectl apply -
 */
import {
  type Location,
  defineService,
  printConfiguration,
  spreadServers,
} from '@boragepoint/config';

import { addressesOf } from './addresses.js';

const CONNECTIONS_PER_SERVER = 130;
const SLOTS_PER_SERVER = 2;

const LOCATIONS: [Location, ...Location[]] = [
  { availabilityZone: 'lima-norte', region: 'costa' },
  { availabilityZone: 'huancayo', region: 'sierra' },
  { availabilityZone: 'iquitos', region: 'selva' },
  { availabilityZone: 'trujillo', region: 'costa' },
  { availabilityZone: 'cusco', region: 'sierra' },
  { availabilityZone: 'pucallpa', region: 'selva' },
];

function servers(idPrefix: string, serviceNumber: number, serverCount: number) {
  return spreadServers({
    idPrefix,
    addresses: addressesOf(serviceNumber, serverCount, LOCATIONS.length),
    locations: LOCATIONS,
    connections: CONNECTIONS_PER_SERVER,
    slots: SLOTS_PER_SERVER,
  });
}

/** Browsing frames and sizes; the key is the catalogue section. */
const vitrina = defineService({
  name: 'vitrina',
  shards: 256,
  key: { from: 'path', segment: 1 },
  rules: [
    {
      name: 'browse',
      method: 'GET',
      path: '/catalogue/*/**',
      idempotent: true,
      deadlineMs: 800,
      objective: { target: 0.999, withinMs: 200 },
    },
  ],
  backendServers: servers('vitrina', 1, 16),
  weigh: 'unavailable-time',
});

/**
 * Paying for print runs and fetching receipts; the key is the member. A payment runs at most once.
 */
const caja = defineService({
  name: 'caja',
  shards: 128,
  key: { from: 'header', name: 'member' },
  rules: [
    {
      name: 'pay',
      method: 'POST',
      path: '/payments',
      idempotent: false,
      deadlineMs: 3_000,
      priority: 'high',
      objective: { target: 0.9995, withinMs: 1_000 },
    },
    {
      name: 'receipt',
      method: 'GET',
      path: '/payments/*',
      idempotent: true,
      deadlineMs: 1_000,
      priority: 'high',
      objective: { target: 0.999, withinMs: 300 },
    },
  ],
  backendServers: servers('caja', 2, 12),
  weigh: 'unavailable-time',
});

/** Asking whether prints are ready; the key is the kiosk. */
const bandeja = defineService({
  name: 'bandeja',
  shards: 128,
  key: { from: 'path', segment: 1 },
  rules: [
    {
      name: 'print-status',
      method: 'GET',
      path: '/kiosks/*/prints/**',
      idempotent: true,
      deadlineMs: 800,
      objective: { target: 0.999, withinMs: 200 },
    },
  ],
  backendServers: servers('bandeja', 3, 12),
  weigh: 'unavailable-time',
});

printConfiguration([vitrina, caja, bandeja]);
