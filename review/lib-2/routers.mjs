// Starts routers as processes, with the command of the deploy file and settings of a small site.
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const RUN = ['node', '--max-old-space-size=200', 'target/router.mjs'];

/** Ports below those that the operating system gives to outgoing connections. */
const FIRST_PORT = 15_000;
const PORTS = 15_000;
const usedPorts = new Set();

async function isFree(port) {
  const server = createServer();
  const result = await new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => resolve(true));
  });
  if (result) await new Promise((resolve) => server.close(resolve));
  return result;
}

async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (usedPorts.has(port) || !(await isFree(port))) continue;
    usedPorts.add(port);
    ports.push(port);
  }
  return ports;
}

function settingsOf({ name, zone, zones, ports, storeAddress }) {
  const [callers, readiness, peers] = ports.map((it) => `127.0.0.1:${it}`);
  return [
    '[instance]',
    `id = "${name}"`,
    `availability_zone = "${zone}"`,
    `region = "${zones[zone]}"`,
    '[regions]',
    ...Object.entries(zones).map(([key, region]) => `"${key}" = "${region}"`),
    '[listen]',
    `callers = "${callers}"`,
    `readiness = "${readiness}"`,
    `peers = "${peers}"`,
    '[store]',
    `address = "${storeAddress}"`,
    '[processor]',
    'share = 0.54',
    'speed = 1',
    '[shutdown]',
    'grace_s = 6',
    '[drain]',
    'notice_ms = 2500',
    '[retries]',
    'ratio = 0.2',
    'slack = 64',
    'window_s = 10',
    '',
  ].join('\n');
}

function statusOf(port) {
  return new Promise((resolve) => {
    const req = request({ host: '127.0.0.1', port, path: '/api/readyz', timeout: 500 }, (res) => {
      res.resume();
      resolve(res.statusCode);
    });
    req.on('error', () => resolve(0));
    req.on('timeout', () => req.destroy());
    req.end();
  });
}

/** Starts one router for each zone in the list; resolves once all are ready. */
export async function startRouters({ zoneList, zones, storeOf }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const routers = [];
  for (const [index, zone] of zoneList.entries()) {
    const name = `edge-${zone}-${index + 1}`;
    const ports = await freePorts(3);
    const file = join(folder, `${name}.toml`);
    writeFileSync(file, settingsOf({ name, zone, zones, ports, storeAddress: storeOf(index) }));
    const router = { name, zone, callers: ports[0], ready: ports[1], child: undefined };
    router.start = () => {
      const log = openSync(join(folder, `${name}.log`), 'a');
      const [command, ...args] = RUN;
      router.child = spawn(command === 'node' ? process.execPath : command, args, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, BORAGEPOINT_BOOT: file },
        stdio: ['ignore', log, log],
      });
      closeSync(log);
    };
    router.kill = (signal) => router.child.kill(signal);
    router.isReady = async () => (await statusOf(router.ready)) === 200;
    routers.push(router);
  }
  const stop = () => {
    for (const { child } of routers) child?.kill('SIGKILL');
    if (process.env.KEEP !== '1') rmSync(folder, { recursive: true, force: true });
  };
  // Nothing that was started stays, however this process ends.
  process.on('exit', stop);
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => process.exit(2));
  for (const it of routers) it.start();
  for (const it of routers) {
    for (let tries = 0; !(await it.isReady()); tries += 1) {
      if (tries > 200) throw new Error(`${it.name} is not ready`);
      await sleep(100);
    }
  }
  return { routers, folder, stop };
}
