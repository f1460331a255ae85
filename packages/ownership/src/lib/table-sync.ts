import type { InstanceList, TableService } from '@boragepoint/platform';

import type { Membership } from './membership.js';
import { monotonicMs, pause } from './pause.js';
import type { RowStore } from './row-store.js';
import { type RegressedRow, createRowSync } from './row-sync.js';

/** Interval between reads of the table and of the instance list. */
const POLL_INTERVAL_MS = 1_000;

/** Polls the shared rows and the instance list. */
export interface TableSync extends AsyncDisposable {
  /** When the last complete read was sent, on the monotonic clock; `-Infinity` when none was. */
  lastReadAt(): number;
  /**
   * False after a failed read or write, and after a read that lacks rows or epochs known here, until
   * a read succeeds.
   */
  isUp(): boolean;
  /** Time that the last complete read took, in milliseconds. */
  lastReadMs(): number;
  /** Notes that a call to the table failed, so that the table counts as down. */
  noteFailure(): void;
}

/**
 * Creates the task and starts it. `onRegressed` is called with the rows that show that the table
 * came back from an older copy.
 */
export function createTableSync(
  table: TableService,
  instances: InstanceList,
  rows: RowStore,
  membership: Membership,
  onRegressed: (regressed: readonly RegressedRow[]) => void,
): TableSync {
  const rowSync = createRowSync(table, rows, onRegressed);
  const stopping = new AbortController();
  let lastReadAt = -Infinity;
  let lastReadMs = 0;
  let up = false;
  const done = run();

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await Promise.all([pollTable(), pollInstances()]);
      await pause(POLL_INTERVAL_MS, stopping.signal);
    }
  }

  async function pollTable(): Promise<void> {
    const sentAt = monotonicMs();
    up = (await rowSync.poll()) === 'complete';
    if (!up) return;
    lastReadAt = sentAt;
    lastReadMs = monotonicMs() - sentAt;
  }

  async function pollInstances(): Promise<void> {
    const listed = await instances.list();
    if (listed.isOk()) membership.updateInstances(listed.value);
  }

  return {
    lastReadAt: () => lastReadAt,
    lastReadMs: () => lastReadMs,
    isUp: () => up,
    noteFailure() {
      up = false;
    },
    async [Symbol.asyncDispose]() {
      stopping.abort();
      await done;
    },
  };
}
