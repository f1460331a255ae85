import { test } from 'node:test';

import { type ResultCode, familyOf } from '@boragepoint/config';
import type { TableService } from '@boragepoint/platform';
import { expect } from 'earl';
import fc from 'fast-check';

import type { DispatchOutcome, Ledger } from '../index.js';
import { TRANSACTION_FAULTS, type TransactionFault, createFaultyTable } from './faulty-table.js';
import { createFixture } from './ledger-fixture.js';

const SEED = 20_260_117;
const RUNS = 150;
const KEEPERS = 3;
const KEYS = 2;

const stepArbitrary = fc.record({
  keeper: fc.nat(KEEPERS - 1),
  key: fc.nat(KEYS - 1),
  /** How the dispatch ends; `hangs` leaves the intent pending. */
  dispatch: fc.constantFrom('answered', 'not-run', 'lost-after-run', 'lost-before-run', 'hangs'),
  restart: fc.boolean(),
  deadlineMs: fc.constantFrom(10, 60),
});
type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

interface Plan {
  readonly scheduler: fc.Scheduler;
  readonly steps: readonly Step[];
  readonly faults: readonly TransactionFault[];
  /** False if the keepers have no space to cache outcomes. */
  readonly hasMemory: boolean;
}

/** Lets the scheduler choose the order of all calls of the table. */
function schedule(scheduler: fc.Scheduler, table: TableService): TableService {
  return {
    read: scheduler.scheduleFunction((keys: readonly string[]) => table.read(keys)),
    scan: scheduler.scheduleFunction((prefix: string) => table.scan(prefix)),
    transact: scheduler.scheduleFunction((writes) => table.transact(writes)),
  };
}

async function runPlan(plan: Plan, wrap = (table: TableService) => table) {
  const { scheduler, steps } = plan;
  const fixture = createFixture();
  const faults = [...plan.faults];
  const config = plan.hasMemory ? {} : { memoryBytes: 1, memoryNotRun: 1 };
  const faulty = createFaultyTable(wrap(fixture.table), () => faults.shift() ?? 'answered');
  const table = schedule(scheduler, faulty);
  const newKeeper = (id: number, start: number) =>
    fixture.keeper(`${id}.${start}`, { table, config });
  const keepers: Ledger[] = Array.from({ length: KEEPERS }, (_, id) => newKeeper(id, 0));
  /** Codes that told a caller "not run" although its attempt ran. */
  const falseRefusals: ResultCode[] = [];

  async function runStep(step: Step, index: number): Promise<void> {
    if (step.restart) keepers[step.keeper] = newKeeper(step.keeper, index + 1);
    const ledger = keepers[step.keeper];
    if (ledger === undefined) return;
    const key = `k-${step.key}`;
    const attempt = { hasRun: false };
    const dispatch = (): Promise<DispatchOutcome> => {
      if (step.dispatch === 'not-run') {
        return Promise.resolve({ kind: 'not-run', reason: 'refused' });
      }
      if (step.dispatch === 'lost-before-run') {
        return Promise.resolve({ kind: 'unknown', reason: 'lost' });
      }
      attempt.hasRun = true;
      const answer = fixture.runAtServer(key);
      if (step.dispatch === 'hangs') return new Promise(() => undefined);
      return Promise.resolve(
        step.dispatch === 'answered' ? answer : { kind: 'unknown', reason: 'lost' },
      );
    };
    const deadlineAt = performance.now() + step.deadlineMs;
    const seen = await fixture.send(ledger, key, dispatch, { deadlineAt });
    if (typeof seen === 'number' && attempt.hasRun && familyOf(seen as ResultCode) === 'not-run') {
      falseRefusals.push(seen as ResultCode);
    }
  }

  const done = Promise.all(steps.map(runStep)).then(() => faulty.deliverDelayed());
  await scheduler.waitFor(done);
  const mostRuns = Math.max(
    ...Array.from({ length: KEYS }, (_, key) => fixture.runsOf(`k-${key}`)),
  );
  return { mostRuns, falseRefusals };
}

const planArbitrary = fc.record({
  scheduler: fc.scheduler(),
  steps: fc.array(stepArbitrary, { minLength: 2, maxLength: 8 }),
  hasMemory: fc.boolean(),
  faults: fc.array(fc.constantFrom(...TRANSACTION_FAULTS), { maxLength: 20 }),
});

test('no interleaving of keepers, losses and lost answers runs a request twice', async () => {
  const property = fc.asyncProperty(planArbitrary, async (plan) => {
    const { mostRuns, falseRefusals } = await runPlan(plan);
    expect(mostRuns <= 1).toEqual(true);
    expect(falseRefusals).toEqual([]);
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
});

test('the same interleavings detect a table that ignores expected versions', async () => {
  const ignoreVersions = (table: TableService): TableService => ({
    ...table,
    async transact(writes) {
      const rows = (await table.read(writes.map((it) => it.key)))._unsafeUnwrap();
      const versions = new Map(rows.map((row) => [row.key, row.version]));
      return table.transact(
        writes.map((it) => ({ ...it, expectedVersion: versions.get(it.key) ?? 0 })),
      );
    },
  });
  const property = fc.asyncProperty(planArbitrary, async (plan) => {
    const { mostRuns } = await runPlan(plan, ignoreVersions);
    return mostRuns <= 1;
  });
  const found = await fc.check(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
  expect(found.failed).toEqual(true);
});
