import { test } from 'node:test';

import { expect } from 'earl';
import * as fc from 'fast-check';

import { SettingsError, loadSettings } from '../index.js';

const SEED = 4_201;
const VALID = `[instance]
id = "router-1"
availability_zone = "cusco"
region = "sierra"

[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
peers = "[::1]:8082"

[platform]
table = "http://127.0.0.1:9001"
objects = "http://127.0.0.1:9002"
instances = "http://127.0.0.1:9003/"

[operators]
token_file = "/run/boragepoint/token"
`;

function problemsIn(text: string): string[] {
  return loadSettings(text).match(
    () => [],
    (error) => error.problems.map((it) => `${it.line ?? '-'} ${it.path}`),
  );
}

test('valid settings get names in camelCase and the documented defaults', () => {
  const settings = loadSettings(VALID)._unsafeUnwrap();
  expect(settings.instance.availabilityZone).toEqual('cusco');
  expect(settings.operators.tokenFile).toEqual('/run/boragepoint/token');
  expect(settings.limits).toEqual({
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_048_576,
    maxConnections: 10_000,
    idleTimeoutMs: 60_000,
  });
  expect(settings.shutdown).toEqual({ noticeMs: 1_000, drainTimeoutMs: 30_000 });
});

test('invalid, unknown and missing settings are reported together with their lines', () => {
  const text = `${VALID}colour = "red"\nshape = 1\n[limits]\nmax_connections = 0\n[extra]\n`
    .replace('id = "router-1"', 'id = 7')
    .replace('region = "sierra"\n', '')
    .replace('127.0.0.1:8081', 'localhost:8081')
    .replace('http://127.0.0.1:9001', 'http://table.example:9001');
  expect(problemsIn(text)).toEqual([
    '2 instance.id',
    '1 instance.region',
    '7 listen.operators',
    '11 platform.table',
    '17 operators.colour',
    '18 operators.shape',
    '20 limits.max_connections',
    '21 extra',
  ]);
});

test('every missing setting of an empty file is reported', () => {
  expect(problemsIn('').length).toEqual(10);
});

test('text that is not TOML is reported with its line', () => {
  expect(problemsIn(VALID.replace('id =', 'id'))).toEqual(['2 ']);
});

test('two listeners with the same address are refused', () => {
  expect(problemsIn(VALID.replace('8081', '8080'))).toEqual(['8 listen.operators']);
});

const INVALID_ADDRESSES: [string, string][] = [
  ['999.1.1.1:80', 'an address out of range'],
  ['127.0.0.1', 'no port'],
  ['127.0.0.1:65536', 'a port out of range'],
  ['::1:80', 'IPv6 without brackets'],
  ['[127.0.0.1]:80', 'IPv4 in brackets'],
  ['', 'nothing'],
];
for (const [address, description] of INVALID_ADDRESSES) {
  test(`a listener's address with ${description} is refused`, () => {
    expect(problemsIn(VALID.replace('127.0.0.1:8080', address))).toEqual(['7 listen.callers']);
  });
}

test('any text leads to settings or to a SettingsError', () => {
  const piece = fc.constantFrom(...VALID.split('\n'), '[', ']', '"', '=', '"""', '[[x]]', 'a.b=1');
  const text = fc.oneof(
    fc.string(),
    fc.array(fc.oneof(piece, fc.string())).map((it) => it.join('\n')),
  );
  const property = fc.property(text, (it) => {
    const result = loadSettings(it);
    if (result.isOk()) return;
    expect(result.error instanceof SettingsError && result.error.problems.length > 0).toEqual(true);
  });
  fc.assert(property, { seed: SEED, numRuns: 2_000 });
});

test('one damaged line never leads to settings other than the valid ones', () => {
  const lines = VALID.split('\n');
  const required = lines.flatMap((line, index) => (line.includes('=') ? [index] : []));
  const expected = loadSettings(VALID)._unsafeUnwrap();
  const property = fc.property(fc.constantFrom(...required), fc.string(), (index, name) => {
    const damaged = lines.with(index, `${name} = 1`).join('\n');
    const result = loadSettings(damaged);
    if (result.isOk()) expect(result.value).toEqual(expected);
  });
  fc.assert(property, { seed: SEED, numRuns: 500 });
});
