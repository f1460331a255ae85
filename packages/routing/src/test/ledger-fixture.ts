import type { ObjectStore, TableService } from '@boragepoint/platform';

import {
  type DispatchOutcome,
  type Ledger,
  type LedgerClock,
  type LedgerConfigInput,
  type NonIdempotentRequest,
  createLedger,
  runNonIdempotent,
} from '../index.js';
import { createMemoryTable } from '../lib/ledger/memory-table.js';
import { createMemoryObjects } from './faulty-table.js';

export const SERVICE = 'caja';
/** Ledger configuration with short times, so that tests don't wait. */
export const FAST: LedgerConfigInput = {
  batchGapMs: 0,
  transactionsPerSecond: 1_000_000,
  stallMs: 20,
  settleMs: 40,
  settleGapMs: 1,
  elsewhereWaitMs: 0,
  briefOutageMs: 0,
  recordPauseMs: 1,
  recordMaxPauseMs: 2,
  recordRetries: 20,
  watchEveryMs: 5,
};
const DEADLINE_MS = 10_000;

/** Result for a caller: `answered`, `replayed` or the code of a refusal. */
export type CallerResult = 'answered' | 'replayed' | number;

/** Creates a table that keepers share, and a backend server that counts its runs. */
export function createFixture() {
  const table = createMemoryTable();
  const objects = createMemoryObjects();
  const ran: string[] = [];

  function keeper(
    incarnation: string,
    options: {
      readonly table?: TableService;
      readonly objects?: ObjectStore;
      readonly clock?: LedgerClock;
      readonly config?: LedgerConfigInput;
    } = {},
  ): Ledger {
    const config = { ...FAST, ...options.config };
    return createLedger({ table, objects, incarnation, ...options, config });
  }

  /** Runs a request at the backend server, which answers with the number of runs under its key. */
  function runAtServer(key: string): DispatchOutcome {
    ran.push(key);
    const body = new TextEncoder().encode(`run ${ran.filter((it) => it === key).length}`);
    return { kind: 'answered', status: 201, headers: [{ name: 'x-run', value: key }], body };
  }

  async function send(
    ledger: Ledger,
    key: string,
    dispatch: () => Promise<DispatchOutcome> = () => Promise.resolve(runAtServer(key)),
    changes: Partial<NonIdempotentRequest> = {},
  ): Promise<CallerResult> {
    const req: NonIdempotentRequest = {
      service: SERVICE,
      idempotencyKey: key,
      fingerprint: 'f',
      deadlineAt: performance.now() + DEADLINE_MS,
      ...changes,
    };
    const result = await runNonIdempotent({ ledger, dispatch, req, runPastDeadlineMs: 20 });
    if (result.kind === 'refused') return result.code;
    return result.replayed ? 'replayed' : 'answered';
  }

  const runsOf = (key: string) => ran.filter((it) => it === key).length;
  return { table, objects, keeper, runAtServer, send, runsOf };
}

/** Polls a condition every millisecond until it holds. */
export async function eventually(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) await new Promise((resolve) => setTimeout(resolve, 1));
}
