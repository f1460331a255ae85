import { type Result, err, ok } from 'neverthrow';

import { pause } from './pause.js';
import type { RowStore, VersionedRow } from './row-store.js';
import type { RowChange, RowWriter } from './row-writer.js';
import {
  type AssignRow,
  type Assignment,
  type KeeperRow,
  type MoveRecord,
  assignKey,
} from './table-rows.js';

/** Number of latest moves that an assignment row keeps. */
const HISTORY_LENGTH = 64;
/** Interval between checks whether an earlier move is recorded. */
const EARLIER_MOVE_CHECK_INTERVAL_MS = 50;
/** Delay after a conflict with rows that are not newer than the known ones: the table forgot some. */
const FORGOTTEN_ROW_RETRY_MS = 50;

/** One shard's change of owner, decided by the keeper of its present owner. */
export interface ShardChange {
  readonly shard: number;
  /** Id of the backend server that owns the shard before the change. */
  readonly from: string;
  /** Id of the backend server that owns it afterwards. */
  readonly to: string;
  /** Epoch under which the new owner holds the shard. */
  readonly epoch: number;
  /** Stored successor afterwards; empty when there is none. */
  readonly successor: string;
  readonly reason: string;
}

/**
 * Why moves were not recorded:
 * - `replaced`: the keeper row changed, so another router may be keeper now.
 * - `given-up`: the signal aborted before the outcome was known.
 * - `moved-before`: the orders name an older epoch, or shards that are being moved already.
 */
export type MoveFailure = 'replaced' | 'given-up' | 'moved-before';

const MOVE_MESSAGES: Readonly<Record<MoveFailure, string>> = {
  replaced: 'this router may no longer be the keeper',
  'given-up': 'the write of the moves was aborted before its outcome was known',
  'moved-before': 'the shards have other epochs or are being moved already',
};

/** Reports moves that were not recorded. */
export class MoveError extends Error {
  override readonly name = 'MoveError';

  /** @param reason Why, see {@link MoveFailure}. */
  constructor(readonly reason: MoveFailure) {
    super(MOVE_MESSAGES[reason]);
  }
}

/** Writes changes of owner into the table. */
export interface ShardMover {
  /**
   * Records changes whose old owners have released the shards, or whose leases have lapsed, in one
   * transaction that also checks the keeper row (rules 1 and 2 in DESIGN.md). Changes that the rows
   * already show are skipped. Waits first until earlier moves of the same shards are recorded.
   */
  record(
    service: string,
    keeper: VersionedRow<KeeperRow>,
    changes: readonly ShardChange[],
    signal: AbortSignal,
  ): Promise<Result<void, MoveError>>;
}

function applyChange(assignment: Assignment, change: ShardChange | undefined): Assignment {
  if (change === undefined || change.epoch <= assignment.epoch) return assignment;
  if (change.from !== assignment.owner) return assignment;
  const { to: owner, epoch, successor } = change;
  return { ...assignment, owner, epoch, successor };
}

function recordOf(change: ShardChange, by: string): MoveRecord {
  const { shard, from, to, epoch, reason } = change;
  return { shard, from, to, epoch, reason, by, at: new Date().toISOString() };
}

/** Returns the row after the changes, or `undefined` when it already shows them all. */
function applyChanges(
  row: AssignRow,
  changes: readonly ShardChange[],
  by: string,
): Omit<AssignRow, 'writer'> | undefined {
  const byShard = new Map(changes.map((it) => [it.shard, it]));
  const shards = row.shards.map((it) => applyChange(it, byShard.get(it.shard)));
  const changed = shards.filter((it, i) => it !== row.shards[i]);
  if (changed.length === 0) return undefined;
  const records = changed.flatMap((it) => byShard.get(it.shard) ?? []);
  const history = [...row.history, ...records.map((it) => recordOf(it, by))];
  return { shards, history: history.slice(-HISTORY_LENGTH) };
}

/** Creates a mover that records the router's id with each move. */
export function createShardMover(rows: RowStore, writer: RowWriter, router: string): ShardMover {
  function rowChanges(service: string, changes: readonly ShardChange[]): RowChange[] {
    const keys = new Set(changes.map((it) => assignKey(service, it.shard)));
    return [...keys].flatMap((key) => {
      const row = rows.assign(key);
      if (row === undefined) return [];
      const value = applyChanges(row.value, changes, router);
      return value === undefined ? [] : [{ key, expectedVersion: row.version, value }];
    });
  }

  /** True while the table still shows an earlier owner: the move to `from` is not recorded yet. */
  function awaitsEarlierMove(service: string, changes: readonly ShardChange[]): boolean {
    return changes.some((change) => {
      const row = rows.assign(assignKey(service, change.shard))?.value;
      const recorded = row?.shards.find((it) => it.shard === change.shard);
      return (
        recorded !== undefined && recorded.epoch < change.epoch && recorded.owner !== change.from
      );
    });
  }

  return {
    async record(service, keeper, changes, signal) {
      const check = { key: keeper.key, expectedVersion: keeper.version };
      const assignKeys = [...new Set(changes.map((it) => assignKey(service, it.shard)))];
      while (!signal.aborted) {
        if (awaitsEarlierMove(service, changes)) {
          await pause(EARLIER_MOVE_CHECK_INTERVAL_MS, signal);
          await writer.refresh(assignKeys);
          continue;
        }
        const writes = rowChanges(service, changes);
        if (writes.length === 0) return ok(undefined);
        const digestBefore = rows.digest();
        const written = await writer.write([check, ...writes], signal);
        if (written.isOk()) return ok(undefined);
        if (written.error.reason === 'given-up') break;
        await writer.refresh([keeper.key, ...assignKeys]);
        if (rows.keeper(keeper.key)?.version !== keeper.version) {
          return err(new MoveError('replaced'));
        }
        if (rows.digest() === digestBefore) await pause(FORGOTTEN_ROW_RETRY_MS, signal);
      }
      return err(new MoveError('given-up'));
    },
  };
}
