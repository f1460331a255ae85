import { execFile } from 'node:child_process';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

import { expect } from 'earl';
import * as fc from 'fast-check';

import { diffConfig } from '../lib/config-diff.js';
import { runCli, startFakeRouter } from './fake-router.js';

const SEED = 5_501;
const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const runFile = promisify(execFile);

const OWNER = {
  service: 'caja',
  key: '007',
  shard: 3,
  pinned: false,
  owner: 'caja-1',
  epoch: 5,
  successor: null,
  keeper: 'router-1',
  standby: null,
  heldBy: 'caja-1',
};
const BURN = {
  atMs: 1_000_000,
  rules: [
    {
      service: 'caja',
      rule: 'pay',
      objective: { target: 0.5, withinMs: 200 },
      windows: [{ windowMs: 300_000, good: 990, bad: 10, burnRate: 0.02 }],
      points: [
        { atMs: 0, good: 490, bad: 0, burnRate: 0 },
        { atMs: 60_000, good: 500, bad: 10, burnRate: 19.6 },
      ],
      keys: [{ name: '<script>alert(1)</script>', bad: 10 }],
      servers: [],
      causes: [{ name: 'overloaded', bad: 10 }],
    },
  ],
  missing: ['counters of router-2'],
};
const ANSWERS: Record<string, unknown> = {
  'GET /v1/owner': OWNER,
  'POST /v1/drain': { version: 4 },
  'POST /v1/move': { shard: 3, owner: 'caja-2', epoch: 7 },
  'POST /v1/pin': { version: 5 },
  'POST /v1/depose': { server: 'caja-1', keeper: 'router-2', keeperEpoch: 9 },
  'GET /v1/explain': { service: 'caja', key: 'k', shard: 3, history: [], truncated: false },
  'GET /v1/events': { events: [], truncated: true },
  'GET /v1/quarantine': { entries: [] },
  'DELETE /v1/quarantine/9f2c': { released: true },
  'GET /v1/report/burn': BURN,
};

const COMMANDS: [string, string][] = [
  ['owner caja 007', 'GET /v1/owner'],
  ['drain caja caja-1', 'POST /v1/drain'],
  ['drain caja caja-1 --end', 'POST /v1/drain'],
  ['move caja shard:3 caja-2', 'POST /v1/move'],
  ['move caja key:007 caja-2', 'POST /v1/move'],
  ['pin caja 007', 'POST /v1/pin'],
  ['depose caja-1 --verified-lost', 'POST /v1/depose'],
  ['explain caja k', 'GET /v1/explain'],
  ['events --since 10m --kind move', 'GET /v1/events'],
  ['quarantine list', 'GET /v1/quarantine'],
  ['quarantine release caja 9f2c', 'DELETE /v1/quarantine/9f2c'],
  ['report burn', 'GET /v1/report/burn'],
];
for (const [line, call] of COMMANDS) {
  test(`'${line}' prints the router's answer as JSON and as text`, async () => {
    await using router = await startFakeRouter(new Map(), { answers: ANSWERS });
    const routers = [router.url];
    const json = await runCli([...line.split(' '), '--json'], { routers });
    const text = await runCli(line.split(' '), { routers });
    expect([json.exitCode, text.exitCode]).toEqual([0, 0]);
    expect(JSON.parse(json.stdout)).toEqual(ANSWERS[call]);
    expect(text.stdout.length > 0).toEqual(true);
  });
}

const INVALID_COMMAND_LINES = [
  '',
  'nosuch',
  'owner caja',
  'owner caja k extra',
  'status --colour red',
  'move caja 3 caja-2',
  'move caja shard:x caja-2',
  'depose caja-1',
  'events --since yesterday',
  'events --kind rumour',
  'quarantine release caja',
  'report uptime',
  'validate /nonexistent/file',
  'apply - --timeout soon',
  'status --router nowhere',
  'status --token-file /nonexistent/file',
];
for (const line of INVALID_COMMAND_LINES) {
  test(`'${line}' is refused as wrong usage with exit code 2`, async () => {
    const args = line.split(' ').filter((it) => it !== '');
    const run = await runCli(args, { routers: ['http://127.0.0.1:1'] });
    expect(run.exitCode).toEqual(2);
    expect(run.stderr.startsWith('error: ')).toEqual(true);
  });
}

test('the next router is called if one is down', async () => {
  await using router = await startFakeRouter(new Map());
  const run = await runCli(['status'], {
    routers: ['127.0.0.1:1', router.url.replace('http://', '')],
  });
  expect(run.exitCode).toEqual(0);
});

test('no answer and a wrong token give exit code 4', async () => {
  await using router = await startFakeRouter(new Map());
  const down = await runCli(['status'], { routers: ['http://127.0.0.1:1'] });
  const refused = await runCli(['status', '--json'], { routers: [router.url], token: 'wrong' });
  expect([down.exitCode, refused.exitCode]).toEqual([4, 4]);
  const report = JSON.parse(refused.stdout) as { error: { body: { code: number } } };
  expect(report.error.body.code).toEqual(401);
});

test('an answer that does not match its schema is a failure, not an exception', async () => {
  const answers = { 'GET /v1/owner': { shard: 'x' } };
  await using router = await startFakeRouter(new Map(), { answers });
  const run = await runCli(['owner', 'caja', 'k'], { routers: [router.url] });
  expect(run.exitCode).toEqual(1);
  expect(run.stderr.includes('unexpected body')).toEqual(true);
});

test('the burn page is self-contained and escapes names', async () => {
  const directory = await mkdtemp(path.join(tmpdir(), 'boragectl-'));
  const file = path.join(directory, 'burn.html');
  try {
    await using router = await startFakeRouter(new Map(), { answers: ANSWERS });
    const run = await runCli(['report', 'burn', '--html', file], { routers: [router.url] });
    const page = await readFile(file, 'utf8');
    expect(run.exitCode).toEqual(0);
    expect(page.includes('<polyline')).toEqual(true);
    expect(page.includes('&lt;script&gt;')).toEqual(true);
    expect(/<script|src=|href=|url\(/.test(page)).toEqual(false);
  } finally {
    await rm(directory, { recursive: true });
  }
});

test('counters and events of all routers are merged, and a router that is down is named', async () => {
  const event = { kind: 'move', router: 'router-1', message: 'moved' };
  const events = (atMs: number) => ({ events: [{ ...event, atMs }], truncated: false });
  const behaviour = (atMs: number) => ({ answers: { ...ANSWERS, 'GET /v1/events': events(atMs) } });
  await using first = await startFakeRouter(new Map(), behaviour(2_000));
  await using second = await startFakeRouter(new Map(), behaviour(1_000));
  const routers = [first.url, second.url, 'http://127.0.0.1:1'];
  const report = await runCli(['report', 'burn', '--json'], { routers });
  const listed = await runCli(['events', '--json'], { routers });
  const { rules, missing } = JSON.parse(report.stdout) as typeof BURN;
  expect(rules[0]?.windows).toEqual([{ windowMs: 300_000, good: 1_980, bad: 20, burnRate: 0.02 }]);
  expect(rules[0]?.points[1]?.bad).toEqual(20);
  expect(rules[0]?.causes).toEqual([{ name: 'overloaded', bad: 20 }]);
  expect(missing.some((it) => it.startsWith('http://127.0.0.1:1'))).toEqual(true);
  const { events: merged } = JSON.parse(listed.stdout) as { events: { atMs: number }[] };
  expect(merged.map((it) => it.atMs)).toEqual([1_000, 2_000]);
});

for (const example of ['llaqta', 'al-karmel']) {
  test(`the configuration that the ${example} example prints is valid`, async () => {
    const program = path.join(ROOT, 'examples', 'dist', `${example}.js`);
    const { stdout } = await runFile(process.execPath, [program]);
    const run = await runCli(['validate', '-', '--json'], { input: stdout });
    expect(run.exitCode).toEqual(0);
    expect((JSON.parse(run.stdout) as { services: string[] }).services.length).toEqual(3);
  });
}

test('diffConfig reports a change in the order of rules', () => {
  const before = { rules: [{ name: 'a' }, { name: 'b', x: 1 }] };
  const after = { rules: [{ name: 'b', x: 2 }, { name: 'a' }] };
  const paths = diffConfig(before, after).map((it) => it.path);
  expect(paths).toEqual(['rules.b.x', 'rules (order)']);
});

test('any arguments lead to an exit code, never to an exception', async () => {
  const names = [...COMMANDS.map(([line]) => line.split(' ')[0] ?? ''), 'validate', '-', '--json'];
  // Words that ask for help are left out, because help is printed with exit code 0.
  const word = fc.oneof(
    fc.constantFrom(...names),
    fc.string().filter((it) => !/^--?h/.test(it)),
  );
  const property = fc.asyncProperty(fc.array(word, { maxLength: 5 }), async (argv) => {
    const run = await runCli(argv, { routers: ['http://127.0.0.1:1'] });
    return [1, 2, 4].includes(run.exitCode);
  });
  await fc.assert(property, { seed: SEED, numRuns: 200 });
});
