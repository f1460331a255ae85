/**
 * Measures the CPU time of admission and of load measurement per request. Prints JSON lines.
 * Usage: `node packages/routing/dist/bin/admission-bench.js [requests]`
 */
import {
  createAdmissionQueue,
  createServerLimiter,
  createSystemClock,
} from '../lib/admission/index.js';
import { createLoadMeter } from '../lib/balance/index.js';

const DEFAULT_REQUESTS = 300_000;
const DEADLINE_MS = 60_000;
const BACKLOG = 100;
const KEYS = 10_000;
const SHARDS = 512;
const clock = createSystemClock();

/** Creates a queue for a server that answers immediately. */
function createQueue() {
  const limiter = createServerLimiter({ clock, connections: 130, liveRouters: 12 });
  return createAdmissionQueue({ clock, limiter });
}

/** Admits and releases one request after another. */
async function measureFree(requests: number): Promise<void> {
  using queue = createQueue();
  for (let i = 0; i < requests; i += 1) await runOne(queue, 'a');
}

/** Admits and releases requests while requests of several callers are waiting. */
async function measureBacklog(requests: number): Promise<void> {
  using queue = createQueue();
  const workers = Array.from({ length: BACKLOG }, async (_, worker) => {
    for (let i = 0; i < requests / BACKLOG; i += 1) await runOne(queue, `caller-${worker % 5}`);
  });
  await Promise.all(workers);
}

async function runOne(queue: ReturnType<typeof createQueue>, caller: string): Promise<void> {
  const deadlineAt = clock.now() + DEADLINE_MS;
  const permit = await queue.admit({ caller, priority: 'normal', deadlineAt });
  if (permit.isErr()) return;
  await Promise.resolve();
  permit.value.release({ kind: 'ok', latencyMs: 5, serverLoad: 1 });
}

/** Records requests for keys of which most are not among the counted ones. */
function measureLoadMeter(requests: number): Promise<void> {
  const meter = createLoadMeter({ clock, service: 'vitrina' });
  const hashes = Array.from({ length: KEYS }, (_, key) => key.toString(16).padStart(16, '0'));
  for (let i = 0; i < requests; i += 1) {
    const key = (i * 7919) % KEYS;
    meter.record({
      rule: 'browse',
      server: 's0',
      kind: 'ok',
      latencyMs: 5,
      keyHash: hashes[key] ?? '',
      shard: key % SHARDS,
    });
  }
  return Promise.resolve();
}

async function report(name: string, requests: number, run: (requests: number) => Promise<void>) {
  await run(requests / 10);
  const before = process.cpuUsage();
  await run(requests);
  const { user, system } = process.cpuUsage(before);
  const microseconds = (user + system) / requests;
  console.log(JSON.stringify({ name, requests, microseconds: Number(microseconds.toFixed(3)) }));
}

const requests = Number(process.argv[2] ?? DEFAULT_REQUESTS);
await report('admit and release, no queue', requests, measureFree);
await report('admit and release, 100 waiting', requests, measureBacklog);
await report('record in the load meter', requests, measureLoadMeter);
