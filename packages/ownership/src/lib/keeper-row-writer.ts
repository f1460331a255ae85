import { abortAfter } from '@boragepoint/platform';

import type { KeeperRowValue } from './keeper-roles.js';
import type { OwnershipContext } from './ownership-context.js';
import type { VersionedRow } from './row-store.js';
import type { KeeperRow } from './table-rows.js';

/** Time limit of a handover, which can't complete while the table is down. */
const HAND_OVER_TIMEOUT_MS = 2_000;

/** Writes the keeper row of one backend server. */
export interface KeeperRowWriter {
  /** True while the outcome of a write is unknown. */
  isWriting(): boolean;
  /** True while the role is being handed over to another router. */
  isHandingOver(): boolean;
  /** Starts to write new roles, unless a write is in progress or the table is down. */
  write(row: VersionedRow<KeeperRow>, value: KeeperRowValue): void;
  /** Hands the role over; gives up after 2 s. */
  handOver(row: VersionedRow<KeeperRow>, value: KeeperRowValue): Promise<void>;
  /** Resolves when no write is in progress. */
  settled(): Promise<void>;
}

/**
 * Creates a writer.
 * @param onWritten Called when the roles of a {@link KeeperRowWriter.write} are in the table.
 * @param onSettled Called when such a write has ended, successful or not.
 */
export function createKeeperRowWriter(
  ctx: OwnershipContext,
  onWritten: () => void,
  onSettled: () => void,
  signal: AbortSignal,
): KeeperRowWriter {
  let writing: Promise<void> | undefined;
  let isHandingOver = false;

  async function writeOnce(row: VersionedRow<KeeperRow>, value: KeeperRowValue): Promise<void> {
    const change = { key: row.key, expectedVersion: row.version, value };
    const written = await ctx.writer.write([change], signal);
    writing = undefined;
    if (written.isErr()) await ctx.writer.refresh([row.key]);
    else onWritten();
    ctx.peers.announce();
    onSettled();
  }

  return {
    isWriting: () => writing !== undefined,
    isHandingOver: () => isHandingOver,
    write(row, value) {
      if (writing !== undefined || !ctx.isTableUp()) return;
      writing = writeOnce(row, value);
    },
    async handOver(row, value) {
      isHandingOver = true;
      using limit = abortAfter(HAND_OVER_TIMEOUT_MS, signal);
      await ctx.writer.write([{ key: row.key, expectedVersion: row.version, value }], limit.signal);
      isHandingOver = false;
      ctx.peers.announce();
    },
    async settled() {
      await writing;
    },
  };
}
