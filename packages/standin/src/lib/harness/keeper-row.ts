import { createHttpTableService, type TableRow } from '@boragepoint/platform';
import { Pool } from 'undici';
import * as v from 'valibot';

import { waitUntil } from './wait-until.js';

const keeperRowSchema = v.object({
  acting: v.object({ router: v.string() }),
  standby: v.optional(v.object({ router: v.string() })),
});

/** The acting and standby keeper of a backend server, as recorded in the table. */
export interface KeeperNames {
  readonly acting: string;
  readonly standby: string | undefined;
}

async function readRow(address: string, key: string): Promise<TableRow | undefined> {
  const pool = new Pool(`http://${address}`);
  try {
    const rows = await createHttpTableService(pool).read([key]);
    return rows.isOk() ? rows.value[0] : undefined;
  } finally {
    await pool.destroy();
  }
}

/** Reads the keepers of a backend server from the table; waits until the row exists. */
export async function readKeepers(address: string, server: string): Promise<KeeperNames> {
  const key = `keeper/${server}`;
  const row = await waitUntil(`row ${key}`, () => readRow(address, key));
  const { acting, standby } = v.parse(keeperRowSchema, JSON.parse(row.value));
  return { acting: acting.router, standby: standby?.router };
}
