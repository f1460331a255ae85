import { type AddressInfo } from 'node:net';
import { createServer } from 'node:http';
import { test } from 'node:test';

import { expect } from 'earl';

import { mismatchedRouters, parseRouterVersions } from '../lib/fleet-versions.js';
import { runCli } from './fake-router.js';

const metrics = (version: string, digest: string) => `# TYPE x gauge
# TYPE boragepoint_configuration_in_force_since_seconds gauge
boragepoint_configuration_in_force_since_seconds{version="${version}"} 1700000000
# TYPE boragepoint_settings_in_force_since_seconds gauge
boragepoint_settings_in_force_since_seconds{digest="${digest}"} 1700000001
# TYPE boragepoint_settings_refused_total counter
boragepoint_settings_refused_total 2
`;

/** Serves metrics; successive requests get successive texts, and the last text repeats. */
async function serveMetrics(...texts: readonly string[]) {
  let served = 0;
  const server = createServer((_req, res) => {
    const text = texts[Math.min(served, texts.length - 1)] ?? '';
    served += 1;
    res.end(text);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}/metrics`,
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

test('parseRouterVersions reads the versions in force from metrics', () => {
  expect(parseRouterVersions('r', metrics('12', 'abc'))).toEqual({
    router: 'r',
    configuration: '12',
    configuredAt: 1_700_000_000,
    settings: 'abc',
    settledAt: 1_700_000_001,
    refused: 2,
  });
  expect(parseRouterVersions('r', '# TYPE x gauge\n')).toEqual({ router: 'r', refused: 0 });
});

test('mismatchedRouters returns routers that differ from most or from the wanted versions', () => {
  const fleet = [
    parseRouterVersions('a', metrics('12', 'abc')),
    parseRouterVersions('b', metrics('12', 'abc')),
    parseRouterVersions('c', metrics('11', 'abc')),
    { router: 'd', problem: 'no answer' },
  ];
  expect(mismatchedRouters(fleet, {}).map((it) => it.router)).toEqual(['c', 'd']);
  expect(mismatchedRouters(fleet, { configuration: '13' }).length).toEqual(4);
});

test('versions names the routers that a change has not reached and exits with code 3', async () => {
  await using first = await serveMetrics(metrics('12', 'abc'));
  await using second = await serveMetrics(metrics('11', 'abc'));
  const args = ['versions', '--metrics', first.url, '--metrics', second.url];
  const run = await runCli([...args, '--configuration', '12'], { routers: [] });
  expect(run.exitCode).toEqual(3);
  expect(run.stderr.includes(`${second.url}: has configuration 11 and settings abc`)).toEqual(true);
  expect(run.stderr.includes(`${first.url}: has`)).toEqual(false);
});

test('versions stops waiting when the last router has the wanted version', async () => {
  await using first = await serveMetrics(metrics('12', 'abc'));
  await using second = await serveMetrics(metrics('11', 'abc'), metrics('12', 'abc'));
  const args = ['versions', '--metrics', first.url, '--metrics', second.url, '--wait', '30'];
  const run = await runCli([...args, '--configuration', '12', '--json'], { routers: [] });
  expect(run.exitCode).toEqual(0);
  const fleet = JSON.parse(run.stdout) as { configuration: string }[];
  expect(fleet.map((it) => it.configuration)).toEqual(['12', '12']);
});
