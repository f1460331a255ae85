import { test } from 'node:test';

import { expect } from 'earl';
import * as fc from 'fast-check';
import * as v from 'valibot';

import {
  type Rule,
  type ServiceConfig,
  extractKey,
  matchRule,
  serviceConfigSchema,
} from '../index.js';
import { coversPattern, matchesPattern } from '../lib/path-pattern.js';

const SEED = 4_202;

function serviceWith(rules: [string, string, string][], key: ServiceConfig['key']): ServiceConfig {
  return v.parse(serviceConfigSchema, {
    name: 'caja',
    shards: 16,
    key,
    rules: rules.map(([name, method, path]) => ({
      name,
      method,
      path,
      idempotent: name !== 'pay',
      deadlineMs: 900,
    })),
    backendServers: [
      { id: 'caja-1', address: '127.0.0.1:9000', availabilityZone: 'cusco', region: 'sierra' },
    ],
  });
}

const SERVICE = serviceWith(
  [
    ['pay', 'POST', '/members/*/payments'],
    ['list', 'GET', '/members/*/payments'],
    ['browse', '*', '/browse/**'],
  ],
  { from: 'path', segment: 1 },
);

const MATCHES: [string, string, Rule['name'] | undefined][] = [
  ['POST', '/members/7/payments', 'pay'],
  ['POST', '/members/7/payments/', 'pay'],
  ['GET', '/members/7/payments', 'list'],
  ['PUT', '/members/7/payments', undefined],
  ['POST', '/members/payments', undefined],
  ['POST', '/members/7/8/payments', undefined],
  ['DELETE', '/browse', 'browse'],
  ['GET', '/browse/a/b', 'browse'],
  ['POST', '/browse/../members/7/payments', undefined],
  ['POST', '/browse/%2e%2E/members/7/payments', undefined],
  ['POST', '/browse/..%2Fmembers/7/payments', undefined],
  ['POST', '/browse/..%5cmembers/7/payments', undefined],
  ['POST', '/browse//members/7/payments', undefined],
  ['GET', '/browse/%E0%A4%A', undefined],
  ['GET', 'browse', undefined],
];
for (const [method, path, expected] of MATCHES) {
  test(`${method} ${path} matches ${expected ?? 'no rule'}`, () => {
    expect(matchRule(SERVICE, method, path)?.name).toEqual(expected);
  });
}

test('a key is read from each source and decoded', () => {
  const parts = {
    path: '/members/a%20b/payments',
    query: 'member=c+d%26&member=x',
    header: (name: string) => (name === 'member' ? 'e f' : undefined),
  };
  const keyFrom = (key: ServiceConfig['key']) =>
    extractKey(serviceWith([['browse', 'GET', '/**']], key), parts);
  expect(keyFrom({ from: 'path', segment: 1 })).toEqual('a b');
  expect(keyFrom({ from: 'query', name: 'member' })).toEqual('c d&');
  expect(keyFrom({ from: 'header', name: 'member' })).toEqual('e f');
});

test('a missing, empty, malformed or overlong key is treated as none', () => {
  const header = () => undefined;
  const keyOf = (path: string) => extractKey(SERVICE, { path, query: '', header });
  expect(keyOf('/members')).toEqual(undefined);
  expect(keyOf('/members//payments')).toEqual(undefined);
  expect(keyOf('/members/%zz')).toEqual(undefined);
  expect(keyOf(`/members/${'x'.repeat(1_025)}`)).toEqual(undefined);
});

test('any path leads to a rule and key or to none, never to an exception', () => {
  const property = fc.property(fc.string(), fc.string(), (path, query) => {
    matchRule(SERVICE, 'GET', path);
    extractKey(SERVICE, { path, query, header: () => undefined });
  });
  fc.assert(property, { seed: SEED, numRuns: 2_000 });
});

test('a pattern that covers another one matches all its paths', () => {
  const segment = fc.constantFrom('a', 'b', '*');
  const pattern = fc
    .tuple(fc.array(segment, { maxLength: 3 }), fc.boolean())
    .map(([fixed, endsInRest]) => (endsInRest ? [...fixed, '**'] : fixed));
  const path = fc.array(fc.constantFrom('a', 'b', 'c'), { maxLength: 4 });
  const property = fc.property(pattern, pattern, path, (wide, narrow, it) => {
    if (!coversPattern(wide, narrow) || !matchesPattern(narrow, it)) return;
    expect(matchesPattern(wide, it)).toEqual(true);
  });
  fc.assert(property, { seed: SEED, numRuns: 5_000 });
});
