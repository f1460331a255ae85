/**
 * Measures how many non-idempotent requests per second the ledger can begin and finish on a table
 * with a limited transaction rate: with group commit, and with one transaction per row.
 * Prints JSON lines. Usage: `node packages/routing/dist/bin/bench-ledger.js [--keepers N]
 * [--callers N] [--seconds N] [--transactions-per-second N] [--latency-ms N]`
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';

import type { ObjectStore, TableService } from '@boragepoint/platform';
import { build } from 'hdr-histogram-js';
import { ok } from 'neverthrow';

import { type Ledger, type LedgerConfigInput, createLedger } from '../index.js';
import { createMemoryTable } from '../lib/ledger/memory-table.js';

const SERVICE = 'bench';
const BODY_BYTES = 500;
const DEADLINE_MS = 60_000;
const MAX_CALLERS = 5_000;
const MAX_SECONDS = 60;
const UNLIMITED = 1_000_000;
const MICROS_PER_MS = 1_000;
const ONE_SECOND_MS = 1_000;

const { values } = parseArgs({
  options: {
    'transactions-per-second': { type: 'string', default: '300' },
    'latency-ms': { type: 'string', default: '2' },
    keepers: { type: 'string', default: '10' },
    callers: { type: 'string', default: '1000' },
    seconds: { type: 'string', default: '8' },
  },
});
const transactionsPerSecond = Number(values['transactions-per-second']);
const latencyMs = Number(values['latency-ms']);
const keepers = Number(values.keepers);
const callers = Math.min(Number(values.callers), MAX_CALLERS);
const seconds = Math.min(Number(values.seconds), MAX_SECONDS);

/** Creates a table that starts one transaction per interval, in the order of arrival. */
function createLimitedTable() {
  const table = createMemoryTable();
  const intervalMs = ONE_SECOND_MS / transactionsPerSecond;
  let nextStartAt = 0;
  let transactions = 0;
  const limited: TableService = {
    ...table,
    async transact(writes) {
      const startAt = Math.max(performance.now(), nextStartAt);
      nextStartAt = startAt + intervalMs;
      await sleep(startAt - performance.now() + latencyMs);
      transactions += 1;
      return table.transact(writes);
    },
  };
  return { table: limited, transactions: () => transactions };
}

const noObjects: ObjectStore = {
  put: () => Promise.resolve(ok(undefined)),
  get: () => Promise.resolve(ok(undefined)),
  delete: () => Promise.resolve(ok(undefined)),
};

async function measure(name: string, config: LedgerConfigInput): Promise<void> {
  const { table, transactions } = createLimitedTable();
  const ledgers = Array.from({ length: keepers }, (_, i) =>
    createLedger({
      table,
      objects: noObjects,
      incarnation: `keeper-${i}`,
      liveRouters: () => keepers,
      config: { transactionsPerSecond, ...config },
    }),
  );
  const beginMicros = build();
  const cpuBefore = process.cpuUsage();
  const endAt = performance.now() + seconds * ONE_SECOND_MS;
  const answer = { status: 200, headers: [], body: new Uint8Array(BODY_BYTES) };
  let finished = 0;
  let refused = 0;

  async function call(ledger: Ledger, caller: number): Promise<void> {
    for (let i = 0; performance.now() < endAt; i += 1) {
      const startedAt = performance.now();
      const begun = await ledger.begin({
        service: SERVICE,
        idempotencyKey: `${caller}-${i}`,
        fingerprint: 'f',
        deadlineAt: startedAt + DEADLINE_MS,
      });
      beginMicros.recordValue(Math.round((performance.now() - startedAt) * MICROS_PER_MS));
      if (begun.kind !== 'started') {
        refused += 1;
        await sleep(ONE_SECOND_MS);
        continue;
      }
      await ledger.finish(begun.handle, answer);
      if (performance.now() < endAt) finished += 1;
    }
  }

  const calls = Array.from({ length: callers }, (_, i) => {
    const ledger = ledgers[i % keepers];
    return ledger === undefined ? Promise.resolve() : call(ledger, i);
  });
  await sleep(seconds * ONE_SECOND_MS);
  const used = transactions();
  const cpu = process.cpuUsage(cpuBefore);
  await Promise.all(calls);
  console.log(
    JSON.stringify({
      name,
      keepers,
      callers,
      seconds,
      requestsPerSecond: Math.round(finished / seconds),
      transactionsPerSecond: Math.round(used / seconds),
      beginP50Ms: Math.round(beginMicros.getValueAtPercentile(50) / MICROS_PER_MS),
      beginP99Ms: Math.round(beginMicros.getValueAtPercentile(99) / MICROS_PER_MS),
      cpuMicrosPerRequest: Math.round((cpu.user + cpu.system) / Math.max(1, finished)),
      refused,
    }),
  );
}

await measure('group commit', {});
// Long time limits, so that queueing at the table does not count as an outage.
await measure('one transaction each', {
  settleMs: DEADLINE_MS,
  copyAfterMs: DEADLINE_MS,
  stallMs: 1,
  batchRows: 1,
  batchGapMs: 0,
  transactionsPerSecond: UNLIMITED,
  maxInFlight: MAX_CALLERS,
});
