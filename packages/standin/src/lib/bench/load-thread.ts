/** Worker thread that sends idempotent requests, so that the main thread does not delay them. */
import { parentPort, workerData } from 'node:worker_threads';

import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';

import { monotonicMs, sleep } from '../clock.js';
import { CALLER_HEADERS } from '../load/send-attempt.js';
import type { ThreadPlan, ThreadResult } from './thread-load.js';

const SECOND_MS = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const HTTP_OK = 200;
const KEY_COUNT = 400;
const P50 = 50;
const P99 = 99;

const plan = workerData as ThreadPlan;
const pool = new Pool(`http://${plan.address}`, { connections: plan.connections });
const latencies = build();
const start = monotonicMs();
const end = start + plan.seconds * SECOND_MS;
let sent = 0;
let ok = 0;

async function send(dueAt: number): Promise<void> {
  sent += 1;
  const path = `/${plan.service}/prints/key-${sent % KEY_COUNT}`;
  const headers = { [CALLER_HEADERS.caller]: 'bench' };
  try {
    const res = await pool.request({ method: 'GET', path, headers });
    await res.body.dump();
    if (res.statusCode !== HTTP_OK) return;
    ok += 1;
    const micros = Math.round((monotonicMs() - dueAt) * MICROSECONDS_PER_MS);
    latencies.recordValue(Math.max(1, micros));
  } catch {
    // The request counts as sent but not as answered.
  }
}

/** Sends each request as soon as the previous one has ended; runs once per connection. */
async function sendBackToBack(): Promise<void> {
  while (monotonicMs() < end) await send(monotonicMs());
}

/** Sends requests at their due times, however long answers take. */
async function sendAtRate(perSecond: number): Promise<void> {
  const pending = new Set<Promise<void>>();
  for (let number = 0; ; number += 1) {
    const dueAt = start + (number * SECOND_MS) / perSecond;
    if (dueAt >= end) break;
    await sleep(dueAt - monotonicMs());
    const sending = send(dueAt).finally(() => pending.delete(sending));
    pending.add(sending);
  }
  await Promise.all(pending);
}

if (plan.perSecond === undefined) {
  await Promise.all(Array.from({ length: plan.connections }, sendBackToBack));
} else {
  await sendAtRate(plan.perSecond);
}
const result: ThreadResult = {
  sent,
  ok,
  seconds: (monotonicMs() - start) / SECOND_MS,
  p50Ms: latencies.getValueAtPercentile(P50) / MICROSECONDS_PER_MS,
  p99Ms: latencies.getValueAtPercentile(P99) / MICROSECONDS_PER_MS,
};
parentPort?.postMessage(result);
await pool.close();
