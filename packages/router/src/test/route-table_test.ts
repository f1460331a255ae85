import { test } from 'node:test';

import type { FleetConfig, RouteConfig, RouteTarget } from '@boragepoint/platform';
import { expect } from 'earl';

import { createRouteTable } from '../lib/route-table.js';

function route(
  name: string,
  host: string,
  pathPrefix: string,
  targets: RouteTarget[],
): RouteConfig {
  return {
    name,
    host,
    pathPrefix,
    targets,
    idempotent: true,
    timeoutMs: 1_000,
    objectiveMs: 500,
    maxAttempts: 2,
    priority: 0,
    allowedRegions: [],
    hasLargeBodies: false,
  };
}

const to = (service: string, weight = 1) => ({ service, weight });

const cfg: FleetConfig = {
  version: 1,
  routes: [
    route('all', 'a.example', '/', [to('x')]),
    route('deep', 'a.example', '/p/q/', [to('y')]),
    route('split', 'b.example', '/s/', [to('x', 90), to('y', 10)]),
  ],
  services: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

const table = createRouteTable(cfg);

test('the longest prefix of the host wins', () => {
  expect(table.find('a.example', '/p/q/r')?.cfg.name).toEqual('deep');
  expect(table.find('a.example', '/p/other')?.cfg.name).toEqual('all');
});

test('host names match without port and case', () => {
  expect(table.find('A.Example:8080', '/p/q/')?.cfg.name).toEqual('deep');
});

test('a path that matches only a part of the prefix does not match', () => {
  expect(table.find('b.example', '/sx')).toEqual(undefined);
  expect(table.find('c.example', '/s/')).toEqual(undefined);
});

// Guards against routes of a fleet that has just started, or those of all versions, that count as added.
test('a route knows the version that added it', () => {
  const added = route('added', 'c.example', '/', [to('x')]);
  const next = createRouteTable({ ...cfg, version: 4, routes: [...cfg.routes, added] }, table);
  const last = createRouteTable({ ...next.cfg, version: 6 }, next);
  expect(last.routeNamed('added')?.addedBy).toEqual(4);
  expect(last.find('c.example', '/')?.addedBy).toEqual(4);
  expect(last.routeNamed('all')?.addedBy).toEqual(undefined);
});

test('a split keeps its weights over a hundred requests', () => {
  const found = table.find('b.example', '/s/');
  const services = Array.from({ length: 100 }, () => found?.nextService());
  const share = services.filter((it) => it === 'y').length;
  expect(share >= 9 && share <= 11).toEqual(true);
});
