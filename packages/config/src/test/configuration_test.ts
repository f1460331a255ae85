import { test } from 'node:test';

import { expect } from 'earl';
import * as fc from 'fast-check';

import {
  ConfigurationError,
  type ServiceConfigInput,
  defineService,
  formatConfiguration,
  parseConfiguration,
  printConfiguration,
  spreadServers,
} from '../index.js';

const SEED = 4_203;
const LOCATIONS: [{ availabilityZone: string; region: string }] = [
  { availabilityZone: 'cusco', region: 'sierra' },
];

function service(name: string, port: number, overrides: object = {}): ServiceConfigInput {
  const config = defineService({
    name,
    shards: 16,
    key: { from: 'path', segment: 0 },
    rules: [{ name: 'browse', method: 'GET', path: '/**', idempotent: true, deadlineMs: 800 }],
    backendServers: spreadServers({
      idPrefix: name,
      addresses: [`10.0.0.1:${port}`],
      locations: LOCATIONS,
    }),
  });
  return { ...config, ...overrides };
}

function pathsOf(...services: ServiceConfigInput[]): string[] {
  return formatConfiguration(services).match(
    () => [],
    (error) => error.problems.map((it) => it.path),
  );
}

function rule(name: string, method: 'GET' | '*', path: string) {
  return { name, method, path, idempotent: true, deadlineMs: 100 };
}

test('a printed configuration parses to the same configuration', () => {
  const text = formatConfiguration([service('caja', 1), service('vitrina', 2)])._unsafeUnwrap();
  const { services } = parseConfiguration(text)._unsafeUnwrap();
  expect(formatConfiguration(services)._unsafeUnwrap()).toEqual(text);
});

test('problems of all services are reported together and nothing is printed', () => {
  const caja = service('caja', 1, { shards: 3, colour: 1, shape: 2 });
  const vitrina = service('vitrina', 2, { rules: [], weigh: 'cost' });
  const expected = [
    'services[0].shards',
    'services[0].colour',
    'services[0].shape',
    'services[1].rules',
    'services[1].weigh',
  ];
  expect(pathsOf(caja, vitrina)).toEqual(expected);
  expect(() => {
    printConfiguration([caja, vitrina]);
  }).toThrow(ConfigurationError);
});

test('duplicate names, ids and addresses across services are refused', () => {
  expect(pathsOf(service('caja', 1), service('caja', 1))).toEqual([
    'services[1].name',
    'services[1].backendServers[0].id',
    'services[1].backendServers[0].address',
  ]);
});

test('an availability zone in two regions is refused', () => {
  const backendServers = [
    { id: 'x', address: '10.0.0.2:1', availabilityZone: 'cusco', region: 'costa' },
  ];
  const paths = pathsOf(service('caja', 1), service('vitrina', 2, { backendServers }));
  expect(paths).toEqual(['services[1].backendServers[0].region']);
});

const INVALID_SERVICES: [string, object, string[]][] = [
  ['a lease shorter than two renewal intervals', { lease: { leaseMs: 199 } }, ['lease.leaseMs']],
  ['a tenure shorter than the lease', { lease: { tenureMs: 499 } }, ['lease.tenureMs']],
  [
    'a long tenure with backend servers that do not check orders',
    { checksOrders: false },
    ['lease.tenureMs'],
  ],
  ['a pin given twice', { pins: [{ key: 'a' }, { key: 'a' }] }, ['pins[1].key']],
  [
    'a rule shadowed by an earlier one',
    { rules: [rule('a', '*', '/x/**'), rule('b', 'GET', '/x/*/y')] },
    ['rules[1].path'],
  ],
  [
    'a rule whose path is too short to have the key',
    { rules: [rule('a', 'GET', '/')] },
    ['rules[0].path'],
  ],
  [
    'an objective beyond the deadline',
    { rules: [{ ...rule('a', 'GET', '/**'), objective: { target: 0.99, withinMs: 101 } }] },
    ['rules[0].objective.withinMs'],
  ],
];
for (const [description, overrides, paths] of INVALID_SERVICES) {
  test(`${description} is refused`, () => {
    expect(pathsOf(service('caja', 1, overrides))).toEqual(paths.map((it) => `services[0].${it}`));
  });
}

for (const path of ['x', '/a//b', '/a/**/b', '/a*', '/***', '/a?b', '/../a', '/a b']) {
  test(`the path pattern '${path}' is refused`, () => {
    const rules = [rule('a', 'GET', path)];
    expect(pathsOf(service('caja', 1, { rules }))).toEqual(['services[0].rules[0].path']);
  });
}

test('any text is refused with a ConfigurationError', () => {
  const property = fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
    expect(parseConfiguration(text)._unsafeUnwrapErr().problems.length > 0).toEqual(true);
  });
  fc.assert(property, { seed: SEED, numRuns: 1_000 });
});

test('any value of a field leads to a configuration or to a ConfigurationError', () => {
  const good = service('caja', 1);
  const field = fc.constantFrom(...Object.keys(good), 'lease', 'pins', 'checksOrders', 'x');
  const property = fc.property(field, fc.anything(), (name, value) => {
    const result = formatConfiguration([{ ...good, [name]: value }]);
    if (result.isErr()) expect(result.error instanceof ConfigurationError).toEqual(true);
    else expect(parseConfiguration(result.value).isOk()).toEqual(true);
  });
  fc.assert(property, { seed: SEED, numRuns: 2_000 });
});
