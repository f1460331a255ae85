import {
  PlatformError,
  type TableRow,
  type TableService,
  type TableWrite,
  type TransactOutcome,
} from '@boragepoint/platform';
import { type Result, err, ok } from 'neverthrow';

/** `lost-answer`: the next write takes effect, but its answer is lost; then the mode is `up`. */
export type TableMode = 'up' | 'down' | 'lost-answer';

/** An in-memory table that fails according to its mode. */
export class FakeTable implements TableService {
  readonly rows = new Map<string, TableRow>();
  mode: TableMode = 'up';
  /** Called with each transaction right before it takes effect. */
  onCommit: (writes: readonly TableWrite[]) => void = () => undefined;

  put(key: string, value: object): TableRow {
    const version = (this.rows.get(key)?.version ?? 0) + 1;
    const row = { key, version, value: JSON.stringify({ writer: 'other', ...value }) };
    this.rows.set(key, row);
    return row;
  }

  /** Takes a copy; the function returned brings the table back from it. */
  takeCopy(): () => void {
    const copy = new Map(this.rows);
    return () => {
      this.rows.clear();
      for (const [key, row] of copy) this.rows.set(key, row);
    };
  }

  read(keys: readonly string[]): Promise<Result<TableRow[], PlatformError>> {
    return this.#answer(() => keys.flatMap((key) => this.rows.get(key) ?? []));
  }

  scan(prefix: string): Promise<Result<TableRow[], PlatformError>> {
    return this.#answer(() => [...this.rows.values()].filter((it) => it.key.startsWith(prefix)));
  }

  async transact(writes: readonly TableWrite[]): Promise<Result<TransactOutcome, PlatformError>> {
    const answer = await this.#answer(() => this.#commit(writes));
    if (this.mode !== 'lost-answer') return answer;
    this.mode = 'up';
    return err(new PlatformError('the answer was lost', true));
  }

  #commit(writes: readonly TableWrite[]): TransactOutcome {
    const versionOf = (key: string) => this.rows.get(key)?.version ?? 0;
    const conflicts = writes.filter((it) => versionOf(it.key) !== it.expectedVersion);
    if (conflicts.length > 0) return { committed: false, conflicts: conflicts.map((it) => it.key) };
    this.onCommit(writes);
    for (const { key, expectedVersion, value } of writes) {
      if (typeof value === 'string')
        this.rows.set(key, { key, version: expectedVersion + 1, value });
    }
    return { committed: true };
  }

  async #answer<T>(run: () => T): Promise<Result<T, PlatformError>> {
    await Promise.resolve();
    if (this.mode === 'down') return err(new PlatformError('the table is down', false));
    return ok(run());
  }
}
