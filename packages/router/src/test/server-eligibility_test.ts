import { test } from 'node:test';

import { expect } from 'earl';

import { checkAllowedRegions, checkSharedRegions } from '../lib/allowed-regions.js';
import { createServerEligibility } from '../lib/server-eligibility.js';

const REGIONS: Readonly<Record<string, string>> = { z1: 'r1', z2: 'r1', z3: 'r2', z4: 'r3' };

function setUp(evacuated: readonly string[] = [], inForce?: readonly string[]) {
  return createServerEligibility({
    regionOf: (zone) => REGIONS[zone],
    evacuatedZones: () => new Set(evacuated),
    allowedRegionsOf: () => inForce,
  });
}

const at = (availabilityZone: string) => ({ availabilityZone });
const routeIn = (...allowedRegions: string[]) => ({ name: 'orders', allowedRegions });

function eligibleZones(...args: [...Parameters<typeof setUp>, string[]]): string[] {
  const [evacuated, inForce, regions] = args;
  const rule = setUp(evacuated, inForce);
  const zones = [...Object.keys(REGIONS), 'z9'];
  return zones.filter((it) => rule.isEligible(at(it), routeIn(...regions)));
}

// Guards against requests that leave the regions that their route is allowed in.
test('only servers in allowed regions are eligible, and without such a list all are', () => {
  expect(eligibleZones([], undefined, ['r1', 'r3'])).toEqual(['z1', 'z2', 'z4']);
  expect(eligibleZones([], undefined, [])).toEqual(['z1', 'z2', 'z3', 'z4', 'z9']);
});

// Guards against a server whose region is not known being taken for one that is allowed.
test('a server in an unknown zone is in no allowed region', () => {
  expect(setUp().isEligible(at('z9'), routeIn('r1'))).toEqual(false);
  expect(eligibleZones([], undefined, ['nowhere'])).toEqual([]);
});

test('no server of an evacuated zone is eligible, whatever the route', () => {
  expect(eligibleZones(['z1', 'z9'], undefined, [])).toEqual(['z2', 'z3', 'z4']);
  expect(eligibleZones(['z1', 'z2'], undefined, ['r1'])).toEqual([]);
});

// Guards against a request that waits while its route is restricted.
test('the regions of the configuration in force count, not those when a request arrived', () => {
  expect(eligibleZones([], ['r2'], [])).toEqual(['z3']);
  expect(eligibleZones([], [], ['r2'])).toEqual(['z1', 'z2', 'z3', 'z4', 'z9']);
});

test('a route is unrestricted only without evacuated zones and without allowed regions', () => {
  expect(setUp().isUnrestricted(routeIn())).toEqual(true);
  expect(setUp().isUnrestricted(routeIn('r1'))).toEqual(false);
  expect(setUp(['z1']).isUnrestricted(routeIn())).toEqual(false);
});

test('each allowed region that no zone is in is reported', () => {
  const routes = [routeIn('r1', 'r7'), routeIn()] as never;
  expect(checkAllowedRegions({ routes }, REGIONS)).toEqual([
    { key: "route 'orders'", reason: "no availability zone is in the allowed region 'r7'" },
  ]);
});

function sharedRegionProblems(...regions: string[][]) {
  const routes = regions.map((allowedRegions, index) => ({
    name: `r${index}`,
    allowedRegions,
    targets: [{ service: 'stock', weight: 1 }],
  }));
  const services = [
    { name: 'stock', partitioned: true },
    { name: 'orders', partitioned: false },
  ];
  return checkSharedRegions({ routes, services } as never);
}

// Guards against routes that are refused for most keys without a sign of why.
test('routes to a partitioned service without an allowed region in common are reported', () => {
  expect(sharedRegionProblems([], ['r1'], ['r2', 'r3'])).toEqual([
    {
      key: "service 'stock'",
      reason: "its keys have no region that all routes allow: 'r1' (r1), 'r2' (r2, r3)",
    },
  ]);
  expect(sharedRegionProblems([], ['r1', 'r2'], ['r2', 'r3'])).toEqual([]);
  expect(sharedRegionProblems([], [])).toEqual([]);
});
