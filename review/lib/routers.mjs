/** Starts routers as processes, with the command of the deploy file. */
import { spawn } from 'node:child_process';
import { createWriteStream, existsSync, mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { rmSync } from 'node:fs';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

import { freePorts, sleep } from './net.mjs';

const ROOT = path.join(path.dirname(fileURLToPath(import.meta.url)), '../..');
const RESTART_DELAY_MS = 300;
const READY_TIMEOUT_MS = 15_000;

/** The `run` line of the deploy file, split at spaces. */
function command() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const line = /^run\s*=\s*"([^"]*)"/m.exec(text)?.[1] ?? '';
  return line.split(' ');
}

/** Settings as the template makes them; see platform/settings.toml. */
function settingsOf({ id, zone, ports, storePort, graceS }) {
  return `[instance]
id = "${id}"
availability_zone = "${zone}"
region = "r1"

[regions]
"${zone}" = "r1"

[listen]
callers = "127.0.0.1:${ports.front}"
readiness = "127.0.0.1:${ports.ready}"
peers = "127.0.0.1:${ports.peers}"

[store]
address = "127.0.0.1:${storePort}"

[processor]
share = 0.54
speed = 1

[shutdown]
grace_s = ${graceS}

[drain]
notice_ms = 2500

[retries]
ratio = 0.2
slack = 58
window_s = 10
`;
}

/** Returns true if the program has been built. */
export const isBuilt = () => existsSync(path.join(ROOT, 'target/router.mjs'));

/** Starts `count` routers; each is started again when it ends, as the platform does. */
export async function startRouters({ count, storePort, record, graceS = 6, storePorts = [] }) {
  const dir = mkdtempSync(path.join(tmpdir(), 'review-'));
  const numbers = await freePorts(count * 3);
  let isEnding = false;

  const routers = Array.from({ length: count }, (_, index) => {
    const [front, ready, peers] = numbers.slice(index * 3, index * 3 + 3);
    const id = `edge-${index + 1}`;
    const ports = { front, ready, peers };
    const file = path.join(dir, `${id}.toml`);
    const port = storePorts[index] ?? storePort;
    writeFileSync(file, settingsOf({ id, zone: 'z1', ports, storePort: port, graceS }));
    const log = createWriteStream(path.join(dir, `${id}.log`));
    const router = { id, ports, child: undefined, exits: 0, logFile: log.path };

    function launch() {
      const [program, ...args] = command();
      const child = spawn(program, args, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, BORAGEPOINT_BOOT: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      router.child = child;
      child.stdout.on('data', (chunk) => {
        log.write(chunk);
        router.onOutput?.(String(chunk));
      });
      child.stderr.on('data', (chunk) => log.write(chunk));
      child.once('exit', (code, signal) => {
        router.child = undefined;
        if (isEnding) return;
        router.exits += 1;
        record.note('router ends', { router: id, code, signal });
        void sleep(RESTART_DELAY_MS).then(() => {
          if (!isEnding) launch();
        });
      });
    }
    launch();
    return router;
  });

  return {
    routers,
    dir,
    /** Resolves to true once all routers report that they are ready. */
    async areReady() {
      const until = Date.now() + READY_TIMEOUT_MS;
      for (const { ports } of routers) {
        while ((await statusOf(ports.ready)) !== 200) {
          if (Date.now() > until) return false;
          await sleep(100);
        }
      }
      return true;
    },
    async stop() {
      isEnding = true;
      for (const { child } of routers) {
        child?.kill('SIGCONT');
        child?.kill('SIGKILL');
      }
      while (routers.some((it) => it.child)) await sleep(20);
      if (!process.env.KEEP_LOGS) rmSync(dir, { recursive: true, force: true });
    },
  };
}

function statusOf(port) {
  return new Promise((resolve) => {
    const req = get({ host: '127.0.0.1', port, path: '/api/readyz', timeout: 500 }, (res) => {
      res.resume();
      resolve(res.statusCode);
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(0));
  });
}
