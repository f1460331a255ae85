import { type TestContext, mock, test } from 'node:test';
import { setImmediate as nextEventLoopTurn } from 'node:timers/promises';

import { expect } from 'earl';
import { err, ok } from 'neverthrow';

import { PlatformError } from '../lib/platform-error.js';
import { createRowMirror } from '../lib/row-mirror.js';
import type { RowChange, RowStore, StoredRow } from '../lib/row-store.js';
import { type RowWatch, createRowWatch } from '../lib/watch-rows.js';

const TICK_MS = 100;
const REPORT_INTERVAL_MS = 500;
const FOLLOWERS = 195;
const TURNS_PER_TICK = 6;

const row = (key: string, version: number): StoredRow => ({ key, version, value: Buffer.from('') });

/** A table; each change ends the polls that are waiting for one. */
function createTable() {
  const rows = new Map<string, StoredRow>();
  const changes: RowChange[] = [];
  const waiting = new Set<() => void>();
  let version = 1;

  function endPolls(): void {
    for (const wake of [...waiting]) wake();
  }

  function note(change: RowChange): void {
    changes.push(change);
    endPolls();
  }

  return {
    endPolls,
    keys: () => [...rows.keys()].sort(),
    put(key: string) {
      version += 1;
      rows.set(key, row(key, version));
      note(row(key, version));
    },
    remove(key: string) {
      version += 1;
      rows.delete(key);
      note({ key, version, removed: true });
    },
    /** The store as one router accesses it; `count` is called for each call. */
    access(count: () => void): RowStore {
      return {
        onEra: () => undefined,
        list() {
          count();
          return Promise.resolve(ok({ rows: [...rows.values()], version, nowMs: 0 }));
        },
        async changesAfter(_table, known, waitMs, signal) {
          count();
          if (version <= known && waitMs > 0) {
            await new Promise<void>((resolve) => {
              const finish = () => {
                waiting.delete(finish);
                clearTimeout(timer);
                resolve();
              };
              const timer = setTimeout(finish, waitMs);
              waiting.add(finish);
              signal?.addEventListener('abort', finish);
            });
          }
          const newer = changes.filter((it) => it.version > known);
          return ok({ kind: 'changes', changes: newer, version });
        },
        put: () => Promise.resolve(err(new PlatformError('not used', false))),
      };
    },
  };
}

/** A router that watches the table: the leader or one that reports to it. */
interface WatchingRouter {
  readonly watch: RowWatch;
  /** Keys of the rows that its watch knows. */
  readonly keys: Set<string>;
  /** Number of its calls to the store. */
  calls: number;
}

/** Starts a leader and routers that report to it, all of which watch the same table. */
function startFleet(t: TestContext, followers: number) {
  mock.timers.enable({ apis: ['setTimeout'] });
  const end = new AbortController();
  const table = createTable();
  table.put('first');

  function startWatch(): WatchingRouter {
    const keys = new Set<string>();
    const router: WatchingRouter = {
      keys,
      calls: 0,
      watch: createRowWatch({
        store: table.access(() => (router.calls += 1)),
        table: 't',
        peerDeliversChanges: true,
        watcher: {
          onSnapshot({ rows }) {
            keys.clear();
            for (const it of rows) keys.add(it.key);
          },
          onChange: (it) => keys.add(it.key),
          onRemoval: (key) => keys.delete(key),
          onLost: () => undefined,
          onRecovered: () => undefined,
        },
      }),
    };
    return router;
  }

  const leader = startWatch();
  const routers = Array.from({ length: followers }, startWatch);
  const runs = [leader, ...routers].map((it) => it.watch.run(end.signal));
  t.after(async () => {
    end.abort();
    table.endPolls();
    await Promise.all(runs);
    mock.timers.reset();
  });

  function report(router: WatchingRouter): void {
    const update = leader.watch.updateSince(router.watch.knownVersion());
    if (update && router.watch.knownVersion() > 0) router.watch.applyUpdate(update);
    router.watch.applyReport(leader.watch.tableReport());
  }

  return {
    table,
    leader,
    routers,
    /**
     * Advances the time by `ms` milliseconds; routers report to the leader meanwhile if `reporting`
     * is set.
     */
    async advance(
      ms: number,
      reporting: boolean,
      onStep: (step: number) => void = () => undefined,
    ) {
      for (let step = 0; step < ms / TICK_MS; step += 1) {
        onStep(step);
        mock.timers.tick(TICK_MS);
        for (let turn = 0; turn < TURNS_PER_TICK; turn += 1) await nextEventLoopTurn();
        if (reporting && (step * TICK_MS) % REPORT_INTERVAL_MS === 0) routers.forEach(report);
      }
    },
  };
}

/** Mean number of calls to the store for each router. */
const meanCalls = (routers: readonly WatchingRouter[]) =>
  routers.reduce((sum, it) => sum + it.calls, 0) / routers.length;

// Guards against every router of a large fleet fetching every change of a busy registry from the
// store.
test('changes of a busy registry reach a large fleet with few calls to the store', async (t) => {
  const fleet = startFleet(t, FOLLOWERS);
  const { table, routers } = fleet;
  await fleet.advance(3_000, true);
  const before = meanCalls(routers);
  await fleet.advance(30_000, true, (step) => {
    if (step % 3 === 0) table.put(`s-${step}`);
    if (step % 7 === 0) table.remove(`s-${step - 42}`);
  });
  expect(meanCalls(routers) - before).toBeLessThanOrEqual(3);
  await fleet.advance(1_500, true);
  for (const { keys } of routers) expect([...keys].sort()).toEqual(table.keys());
});

// Guards against routers that receive no more changes once their leader is gone.
test('without a leader each router polls the store again', async (t) => {
  const fleet = startFleet(t, 3);
  const { table, routers } = fleet;
  await fleet.advance(6_000, true);
  await fleet.advance(2_500, false);
  table.put('later');
  await fleet.advance(1_000, false);
  for (const { keys } of routers) expect(keys.has('later')).toEqual(true);
});

// Guards against a router that keeps a removed server: the leader missed the removal during a gap
// in its history, and so would not pass it on.
test('after a gap a mirror gives no update from a version before it', () => {
  const mirror = createRowMirror();
  mirror.put(row('a', 2));
  mirror.remove('a', 4);
  expect(mirror.updateSince(3)).toEqual({ changed: [], removed: ['a'] });
  mirror.noteGap(9);
  expect(mirror.updateSince(8)).toEqual(undefined);
  expect(mirror.updateSince(9)).toEqual({ changed: [], removed: [] });
});

// Guards against an older answer of the store that reverts a change which another router has
// delivered.
test('a late answer of the store does not revert a delivered change', async () => {
  const end = new AbortController();
  const seenVersions: number[] = [];
  const store: RowStore = {
    onEra: () => undefined,
    list: () => Promise.resolve(ok({ rows: [row('a', 1)], version: 1, nowMs: 0 })),
    changesAfter(_table, known) {
      if (known === 8) end.abort();
      else watch.applyUpdate({ version: 8, changed: [row('a', 8)], removed: [] });
      return Promise.resolve(ok({ kind: 'changes', changes: [row('a', 5)], version: 5 }));
    },
    put: () => Promise.resolve(err(new PlatformError('not used', false))),
  };
  const watch = createRowWatch({
    store,
    table: 't',
    watcher: {
      onSnapshot: () => undefined,
      onChange: (it) => seenVersions.push(it.version),
      onRemoval: () => undefined,
      onLost: () => undefined,
      onRecovered: () => undefined,
    },
  });
  await watch.run(end.signal);
  expect(seenVersions).toEqual([8]);
  expect(watch.knownVersion()).toEqual(8);
});
