import type { InstanceList, TableService } from '@boragepoint/platform';

import type { Membership } from './membership.js';
import { monotonicMs, pause } from './pause.js';
import type { RowStore } from './row-store.js';
import { ROW_PREFIXES } from './table-rows.js';

/** Interval between reads of the table and of the instance list. */
const POLL_INTERVAL_MS = 1_000;

/** Polls the shared rows and the instance list. */
export interface TableSync extends AsyncDisposable {
  /** When the last complete read was sent, on the monotonic clock; `-Infinity` when none was. */
  lastReadAt(): number;
  /** False after a failed read or write, until a read succeeds. */
  isUp(): boolean;
  /** Time that the last complete read took, in milliseconds. */
  lastReadMs(): number;
  /** Notes that a call to the table failed, so that the table counts as down. */
  noteFailure(): void;
}

/** Creates the task and starts it. */
export function createTableSync(
  table: TableService,
  instances: InstanceList,
  rows: RowStore,
  membership: Membership,
): TableSync {
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
    const scans = await Promise.all(
      Object.values(ROW_PREFIXES).map((prefix) => table.scan(prefix)),
    );
    up = scans.every((it) => it.isOk());
    if (!up) return;
    for (const row of scans.flatMap((it) => it.unwrapOr([]))) rows.offer(row);
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
