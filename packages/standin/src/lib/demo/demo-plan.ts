import type { FleetPlan, ServicePlan } from '../harness/fleet.js';
import type { LoadPlan, RequestKind } from '../load/load-plan.js';

const REGION = 'costa';
const KEY_COUNT = 40;

/** Service of the demo and the fault cases. */
export const CATALOGUE: ServicePlan['config'] = {
  name: 'vitrina',
  shards: 64,
  key: { from: 'path', segment: 1 },
  rules: [
    {
      name: 'pay',
      method: 'POST',
      path: '/prints/*',
      idempotent: false,
      deadlineMs: 3_000,
      priority: 'high',
    },
    { name: 'browse', method: 'GET', path: '/prints/*', idempotent: true, deadlineMs: 1_500 },
  ],
};

/** Locations of the processes in the demo and the fault cases. */
export const LOCATIONS = [
  { availabilityZone: 'lima-norte', region: REGION },
  { availabilityZone: 'trujillo', region: REGION },
] as const;

/** Names of all keys in requests. */
export const KEY_NAMES = Array.from({ length: KEY_COUNT }, (_, index) => `key-${index}`);

/** Idempotent requests. */
export const BROWSE: RequestKind = {
  name: 'browse',
  service: CATALOGUE.name,
  method: 'GET',
  path: '/prints/{key}',
  idempotent: true,
  share: 0.7,
};

/** Requests that must not run twice; some are repeated with the same idempotency key. */
export const PAY: RequestKind = {
  name: 'pay',
  service: CATALOGUE.name,
  method: 'POST',
  path: '/prints/{key}',
  idempotent: false,
  share: 0.3,
  repeatShare: 0.3,
};

/** Fleet of the demo. */
export const DEMO_FLEET: FleetPlan = {
  locations: LOCATIONS,
  routers: 3,
  services: [{ config: CATALOGUE, backendServers: 4, backendArgs: ['--service-ms', '2'] }],
};

/** Returns a load of `BROWSE` and `PAY` requests; a caller retries for about ten seconds. */
export function mixedLoad(
  plan: Pick<LoadPlan, 'seed' | 'requests' | 'ratePerSecond' | 'routers'>,
): LoadPlan {
  return {
    ...plan,
    kinds: [BROWSE, PAY],
    keys: { kind: 'uniform', count: KEY_COUNT },
    callers: ['plaza', 'mercado', 'terminal'],
    timeoutMs: 4_000,
    maxAttempts: 40,
    retryAfterMs: 250,
  };
}
