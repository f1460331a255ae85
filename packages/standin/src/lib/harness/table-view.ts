import {
  createHttpTableService,
  type TableRow,
  type TableService,
  type TableWrite,
} from '@boragepoint/platform';
import { Pool } from 'undici';
import * as v from 'valibot';

import { waitUntil } from './wait-until.js';

const keeperRowSchema = v.object({
  acting: v.object({ router: v.string() }),
  standby: v.optional(v.object({ router: v.string() })),
});

/** Routers that keep a backend server, as the table names them. */
export interface KeeperNames {
  readonly acting: string;
  readonly standby: string | undefined;
}

async function withTable<T>(address: string, use: (table: TableService) => Promise<T>): Promise<T> {
  const pool = new Pool(`http://${address}`);
  try {
    return await use(createHttpTableService(pool));
  } finally {
    await pool.destroy();
  }
}

async function readRow(address: string, key: string): Promise<TableRow | undefined> {
  const rows = await withTable(address, (table) => table.read([key]));
  return rows.isOk() ? rows.value[0] : undefined;
}

/** Reads from the table who keeps a backend server; waits until the row is there. */
export async function readKeepers(address: string, server: string): Promise<KeeperNames> {
  const key = `keeper/${server}`;
  const row = await waitUntil(`row ${key}`, () => readRow(address, key));
  const { acting, standby } = v.parse(keeperRowSchema, JSON.parse(row.value));
  return { acting: acting.router, standby: standby?.router };
}

/** Replaces the value of one row, whatever its version. */
export async function replaceRow(address: string, key: string, value: unknown): Promise<void> {
  await waitUntil(`write of ${key}`, async () => {
    const expectedVersion = (await readRow(address, key))?.version ?? 0;
    const write: TableWrite = { key, expectedVersion, value: JSON.stringify(value) };
    const outcome = await withTable(address, (table) => table.transact([write]));
    return outcome.isOk() && outcome.value.committed ? true : undefined;
  });
}
