import { test } from 'node:test';

import { expect } from 'earl';
import { type Result, err, ok } from 'neverthrow';

import { PlatformError } from '../lib/platform-error.js';
import type { RowChanges, RowStore, StoredRow } from '../lib/row-store.js';
import { inEra } from '../lib/eras.js';
import { type RowWatch, type RowWatchOptions, createRowWatch } from '../lib/watch-rows.js';

type Poll = Result<RowChanges, PlatformError>;

const row = (key: string, version: number): StoredRow => ({ key, version, value: Buffer.from('') });
const unavailable: Poll = err(new PlatformError('away', false));
const noChanges = (version: number): Poll => ok({ kind: 'changes', changes: [], version });

/** A poll that the store received, and the watch that sent it. */
interface ReceivedPoll {
  /** Number of the poll, starting at 1. */
  readonly number: number;
  readonly version: number;
  readonly signal: AbortSignal | undefined;
  readonly rowWatch: RowWatch;
  /** Ends the watch after this poll. */
  readonly end: () => void;
}

/** Answers of the store, and options of the watch. */
interface WatchedStore {
  readonly list?: () => ReturnType<RowStore['list']>;
  readonly answer: (poll: ReceivedPoll) => Promise<Poll>;
  readonly options?: Partial<RowWatchOptions>;
}

const listOf = (rows: readonly StoredRow[]) => () =>
  Promise.resolve(ok({ rows, version: rows.at(-1)?.version ?? 0, nowMs: 0 }));

/** Runs a watch until a poll ends it; returns its calls to the store and the events it emitted. */
async function watchStore({ list = listOf([row('a', 1)]), answer, options }: WatchedStore) {
  const end = new AbortController();
  const calls: string[] = [];
  const events: string[] = [];
  let number = 0;
  const store: RowStore = {
    onEra: () => undefined,
    list() {
      calls.push('list');
      return list();
    },
    changesAfter(_table, version, waitMs, signal) {
      calls.push(`after ${version} ${waitMs > 0 ? 'waiting' : 'at once'}`);
      number += 1;
      return answer({
        number,
        version,
        signal,
        rowWatch,
        end() {
          end.abort();
        },
      });
    },
    put: () => Promise.resolve(err(new PlatformError('not used', false))),
  };
  const rowWatch = createRowWatch({
    store,
    table: 't',
    watcher: {
      onSnapshot: (it) => events.push(`snapshot ${it.rows.map(({ key }) => key).join()}`),
      onChange: (it) => events.push(`change ${it.key}`),
      onRemoval: (key) => events.push(`removal ${key}`),
      onLost: () => events.push('lost'),
      onRecovered: () => events.push('recovered'),
      onReturn: (era) => events.push(`return ${era}`),
    },
    ...options,
  });
  await rowWatch.run(end.signal);
  return { calls, events };
}

/** Runs a watch whose polls get the given answers in turn. */
function watch(polls: Poll[], options: Partial<RowWatchOptions> = {}) {
  return watchStore({
    options,
    answer({ version, end }) {
      const poll = polls.shift();
      if (polls.length === 0) end();
      return Promise.resolve(poll ?? noChanges(version));
    },
  });
}

const isAborted = (signal: AbortSignal | undefined) =>
  new Promise((resolve) => signal?.addEventListener('abort', resolve));

test('changes are followed from version to version', async () => {
  const { calls, events } = await watch([
    ok({
      kind: 'changes',
      changes: [row('b', 2), { key: 'a', version: 3, removed: true }],
      version: 3,
    }),
    noChanges(3),
    noChanges(3),
  ]);
  expect(events).toEqual(['snapshot a', 'change b', 'removal a']);
  expect(calls).toEqual(['list', 'after 1 waiting', 'after 3 waiting', 'after 3 waiting']);
});

test('after a gap in the history the whole table is read again', async () => {
  const { calls, events } = await watch([ok({ kind: 'history-lost' }), noChanges(1), noChanges(1)]);
  expect(calls.slice(0, 3)).toEqual(['list', 'after 1 waiting', 'list']);
  expect(events).toEqual(['snapshot a', 'snapshot a']);
});

test('after a failure the store is polled without waiting, so that its recovery is detected early', async () => {
  const { calls, events } = await watch([unavailable, unavailable, noChanges(1), noChanges(1)]);
  expect(events).toEqual(['snapshot a', 'lost', 'recovered']);
  expect(calls).toEqual([
    'list',
    'after 1 waiting',
    'after 1 at once',
    'after 1 at once',
    'after 1 waiting',
  ]);
});

test('a store that lost its history counts as recovered only once the table was read', async () => {
  const { calls, events } = await watch([
    unavailable,
    ok({ kind: 'history-lost' }),
    noChanges(1),
    noChanges(1),
  ]);
  expect(events).toEqual(['snapshot a', 'lost', 'snapshot a', 'recovered']);
  expect(calls.slice(0, 4)).toEqual(['list', 'after 1 waiting', 'after 1 at once', 'list']);
});

test('during an outage of the store changes come from the fallback, and the watch resumes after them', async () => {
  const delta = { version: 5, changed: [row('b', 5)], keys: ['b'] };
  const fallback = {
    rowsSince: (_table: string, known: number) => Promise.resolve(known < 5 ? delta : undefined),
  };
  const { calls, events } = await watch([unavailable, unavailable, noChanges(5), noChanges(5)], {
    fallback,
  });
  expect(events).toEqual(['snapshot a', 'lost', 'removal a', 'change b', 'recovered']);
  expect(calls.slice(1, 4)).toEqual(['after 1 waiting', 'after 5 at once', 'after 5 at once']);
});

// Guards against a router that reads a long history of a large configuration and so gets the latest
// version late.
test('after a long outage the whole table is read instead of each missed change', async (t) => {
  let now = 0;
  t.mock.method(performance, 'now', () => (now += 1_500));
  const { calls } = await watch([unavailable, unavailable, noChanges(1), noChanges(1)]);
  expect(calls.filter((it) => it === 'list').length).toEqual(2);
});

test('rows of the fallback that are older than the known version are ignored', async () => {
  const delta = { version: 1, changed: [row('b', 1)], keys: ['b'] };
  const fallback = { rowsSince: () => Promise.resolve(delta) };
  const { events } = await watch([unavailable, noChanges(1), noChanges(1)], { fallback });
  expect(events).toEqual(['snapshot a', 'lost', 'recovered']);
});

// Guards against a long poll on a dead connection that hides a change which another router has
// reported.
test('a poll that the scheduler aborts is repeated without waiting and is not a failure of the store', async () => {
  const { calls, events } = await watchStore({
    async answer({ number, signal, rowWatch, end }) {
      if (number === 1) {
        rowWatch.applyReport({ answers: true, version: 2, confirmedAt: performance.now() });
        await isAborted(signal);
        return unavailable;
      }
      end();
      return ok({ kind: 'changes', changes: [row('a', 2)], version: 2 });
    },
  });
  expect(calls).toEqual(['list', 'after 1 waiting', 'after 1 at once']);
  expect(events).toEqual(['snapshot a']);
});

// Guards against hundreds of routers that each fetch every change of a busy registry with a call of
// its own.
test('the pause between polls is longer while another router would report the loss of the store', async (t) => {
  const pauses: number[] = [];
  const original = globalThis.setTimeout;
  t.mock.method(globalThis, 'setTimeout', (task: () => void, ms?: number) => {
    if (ms === 1_000 || ms === 500) pauses.push(ms);
    return original(task, ms === 1_000 || ms === 500 ? 0 : ms);
  });
  await watchStore({
    options: { peerWatchPauseMs: () => 1_000 },
    answer({ number, version, rowWatch, end }) {
      if (number === 2)
        rowWatch.applyReport({ answers: true, version: 1, confirmedAt: performance.now() });
      if (number === 3) end();
      return Promise.resolve(noChanges(version));
    },
  });
  expect(pauses.slice(0, 3)).toEqual([500, 500, 1_000]);
});

// Guards against a fleet that reads whole tables again when the store resets polls that it has held
// for a long time.
test('after a long poll that failed, changes are requested and not the whole table', async (t) => {
  let now = 0;
  t.mock.method(performance, 'now', () => now);
  const { calls } = await watchStore({
    answer({ number, version, end }) {
      if (number === 1) {
        now += 15_000;
        return Promise.resolve(unavailable);
      }
      end();
      return Promise.resolve(noChanges(version));
    },
  });
  expect(calls).toEqual(['list', 'after 1 waiting', 'after 1 at once']);
});

// Guards against a watch that calls the store without a pause after its poll was aborted and the
// whole table has to be read again.
test('a table that cannot be read after an aborted poll is a failure, and is read again after a pause', async () => {
  const end = new AbortController();
  let lists = 0;
  const { events } = await watchStore({
    list() {
      lists += 1;
      if (lists === 1) return listOf([row('a', 1)])();
      end.abort();
      return Promise.resolve(err(new PlatformError('away', false)));
    },
    async answer({ signal, rowWatch, end: endWatch }) {
      end.signal.addEventListener('abort', endWatch);
      rowWatch.applyReport({ answers: true, version: 2, confirmedAt: performance.now() });
      await isAborted(signal);
      return ok({ kind: 'history-lost' });
    },
  });
  expect(events).toEqual(['snapshot a', 'lost']);
});

// Guards against a watch that drops what it reads because the store's counter has gone back.
test('a table is read anew when the store comes back from a copy with lower versions', async () => {
  const lists = [[row('a', inEra(1, 90))], [row('b', inEra(2, 40))]];
  const { calls, events } = await watchStore({
    list: () => listOf(lists.shift() ?? [])(),
    answer({ version, end }) {
      if (version === inEra(1, 90)) return Promise.resolve(ok({ kind: 'history-lost' }));
      end();
      return Promise.resolve(noChanges(version));
    },
  });
  expect(events).toEqual(['snapshot a', 'return 2', 'snapshot b']);
  expect(calls.filter((it) => it === 'list').length).toEqual(2);
});

// Guards against a watch that ends by an exception: a call can't take so many arguments.
test('a table of very many rows is read', async () => {
  const rows = Array.from({ length: 300_000 }, (_, index) => row(String(index), index + 1));
  let known: number | undefined;
  const { calls } = await watchStore({
    list: listOf(rows),
    answer({ version, rowWatch, end }) {
      known = rowWatch.tableReport().version;
      end();
      return Promise.resolve(noChanges(version));
    },
  });
  expect(calls.length).toEqual(2);
  expect(known).toEqual(300_000);
});

/** A watcher that notes how old a change can be, at each change. */
function noteAges(ages: number[], rowWatch: () => RowWatch | undefined) {
  return {
    onSnapshot: () => undefined,
    onChange: () => ages.push(performance.now() - (rowWatch()?.confirmedAt() ?? -Infinity)),
    onRemoval: () => undefined,
    onLost: () => undefined,
    onRecovered: () => undefined,
  };
}

// Guards against a notice that is counted from when its change was seen: another router may deliver
// the change long after the store took it.
test('a delivered change may be as old as the last report that covered the time before it', async (t) => {
  let now = 10_000;
  t.mock.method(performance, 'now', () => now);
  const ages: number[] = [];
  let rowWatch: RowWatch | undefined;
  await watchStore({
    options: { peerDeliversChanges: true, watcher: noteAges(ages, () => rowWatch) },
    answer(poll) {
      rowWatch = poll.rowWatch;
      now = 12_000;
      rowWatch.applyReport({ answers: true, version: 1, confirmedAt: 11_500 });
      now = 13_400;
      rowWatch.applyUpdate({ version: 2, changed: [row('a', 2)], removed: [] });
      poll.end();
      return Promise.resolve(noChanges(2));
    },
  });
  expect(ages).toEqual([1_900]);
});

test('a polled change is no older than the pause between two polls and its time on the way', async (t) => {
  let now = 10_000;
  t.mock.method(performance, 'now', () => now);
  const ages: number[] = [];
  let rowWatch: RowWatch | undefined;
  await watchStore({
    options: { watcher: noteAges(ages, () => rowWatch) },
    answer(poll) {
      rowWatch = poll.rowWatch;
      now += 1_900;
      if (poll.number === 2) poll.end();
      return Promise.resolve(
        ok({ kind: 'changes', changes: [row('a', poll.version + 1)], version: poll.version + 1 }),
      );
    },
  });
  expect(ages).toEqual([600]);
});

// Guards against a router that covers for others and polls the store so rarely that they stop
// relying on it.
test('a watch that others rely on is held by the store for 400 ms at most', async () => {
  const waits: number[] = [];
  const end = new AbortController();
  const store: RowStore = {
    onEra: () => undefined,
    list: listOf([row('a', 1)]),
    changesAfter(_table, version, waitMs) {
      waits.push(waitMs);
      end.abort();
      return Promise.resolve(noChanges(version));
    },
    put: () => Promise.resolve(err(new PlatformError('not used', false))),
  };
  const watcher = noteAges([], () => undefined);
  const options = { store, table: 't', watcher, isRelayed: () => true };
  await createRowWatch(options).run(end.signal);
  expect(waits).toEqual([400]);
});
