import { test } from 'node:test';

import { expect } from 'earl';
import { type Result, err, ok } from 'neverthrow';

import { PlatformError } from '../lib/platform-error.js';
import type { RowChanges, RowStore, StoredRow } from '../lib/row-store.js';
import { type RowWatch, type RowWatchOptions, createRowWatch } from '../lib/watch-rows.js';

type Poll = Result<RowChanges, PlatformError>;

const row = (key: string, version: number): StoredRow => ({ key, version, value: Buffer.from('') });
const unavailable: Poll = err(new PlatformError('away', false));
const noChanges = (version: number): Poll => ok({ kind: 'changes', changes: [], version });

/** A poll of the store, and the watch that asks. */
interface AskedPoll {
  /** 1 for the first poll. */
  readonly number: number;
  readonly version: number;
  readonly signal: AbortSignal | undefined;
  readonly rowWatch: RowWatch;
  /** Ends the watch after this poll. */
  readonly end: () => void;
}

interface WatchedStore {
  readonly list?: () => ReturnType<RowStore['list']>;
  readonly answer: (poll: AskedPoll) => Promise<Poll>;
  readonly options?: Partial<RowWatchOptions>;
}

const listOf = (rows: readonly StoredRow[]) => () =>
  Promise.resolve(ok({ rows, version: rows.at(-1)?.version ?? 0, nowMs: 0 }));

/** Runs a watch of a store until a poll ends it; returns what the watch asked and was told. */
async function watchStore({ list = listOf([row('a', 1)]), answer, options }: WatchedStore) {
  const end = new AbortController();
  const asked: string[] = [];
  const told: string[] = [];
  let number = 0;
  const store: RowStore = {
    list() {
      asked.push('list');
      return list();
    },
    changesAfter(_table, version, waitMs, signal) {
      asked.push(`after ${version} ${waitMs > 0 ? 'waiting' : 'at once'}`);
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
      onSnapshot: (it) => told.push(`snapshot ${it.rows.map(({ key }) => key).join()}`),
      onChange: (it) => told.push(`change ${it.key}`),
      onRemoval: (key) => told.push(`removal ${key}`),
      onLost: () => told.push('lost'),
      onRecovered: () => told.push('regained'),
    },
    ...options,
  });
  await rowWatch.run(end.signal);
  return { asked, told };
}

/** Runs a watch over polls that are answered as given. */
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
  const { asked, told } = await watch([
    ok({
      kind: 'changes',
      changes: [row('b', 2), { key: 'a', version: 3, removed: true }],
      version: 3,
    }),
    noChanges(3),
    noChanges(3),
  ]);
  expect(told).toEqual(['snapshot a', 'change b', 'removal a']);
  expect(asked).toEqual(['list', 'after 1 waiting', 'after 3 waiting', 'after 3 waiting']);
});

test('after a gap the whole table is read again', async () => {
  const { asked, told } = await watch([ok({ kind: 'history-lost' }), noChanges(1), noChanges(1)]);
  expect(asked.slice(0, 3)).toEqual(['list', 'after 1 waiting', 'list']);
  expect(told).toEqual(['snapshot a', 'snapshot a']);
});

test('a store that was lost is asked for an answer at once, so that its return is noticed', async () => {
  const { asked, told } = await watch([unavailable, unavailable, noChanges(1), noChanges(1)]);
  expect(told).toEqual(['snapshot a', 'lost', 'regained']);
  expect(asked).toEqual([
    'list',
    'after 1 waiting',
    'after 1 at once',
    'after 1 at once',
    'after 1 waiting',
  ]);
});

test('a store that has forgotten what was missed is back only once the table was read', async () => {
  const { asked, told } = await watch([
    unavailable,
    ok({ kind: 'history-lost' }),
    noChanges(1),
    noChanges(1),
  ]);
  expect(told).toEqual(['snapshot a', 'lost', 'snapshot a', 'regained']);
  expect(asked.slice(0, 4)).toEqual(['list', 'after 1 waiting', 'after 1 at once', 'list']);
});

test('while the store is away, changes come from another source, and the watch goes on from there', async () => {
  const delta = { version: 5, changed: [row('b', 5)], keys: ['b'] };
  const fallback = {
    rowsSince: (_table: string, known: number) => Promise.resolve(known < 5 ? delta : undefined),
  };
  const { asked, told } = await watch([unavailable, unavailable, noChanges(5), noChanges(5)], {
    fallback,
  });
  expect(told).toEqual(['snapshot a', 'lost', 'removal a', 'change b', 'regained']);
  expect(asked.slice(1, 4)).toEqual(['after 1 waiting', 'after 5 at once', 'after 5 at once']);
});

// Guards against a router that reads a long history of a large configuration and is late with the
// newest.
test('after a long time without an answer the table is read whole, not each change that was missed', async (t) => {
  let now = 0;
  t.mock.method(performance, 'now', () => (now += 1_500));
  const { asked } = await watch([unavailable, unavailable, noChanges(1), noChanges(1)]);
  expect(asked.filter((it) => it === 'list').length).toEqual(2);
});

test('what another source knows less of than this watch is not taken', async () => {
  const delta = { version: 1, changed: [row('b', 1)], keys: ['b'] };
  const fallback = { rowsSince: () => Promise.resolve(delta) };
  const { told } = await watch([unavailable, noChanges(1), noChanges(1)], { fallback });
  expect(told).toEqual(['snapshot a', 'lost', 'regained']);
});

// Guards against a long watch on a dead connection that hides a change another router has told of.
test('a poll that the guide ends is asked again at once, and is no loss of the store', async () => {
  const { asked, told } = await watchStore({
    async answer({ number, signal, rowWatch, end }) {
      if (number === 1) {
        rowWatch.applyReport({ answers: true, version: 2 });
        await isAborted(signal);
        return unavailable;
      }
      end();
      return ok({ kind: 'changes', changes: [row('a', 2)], version: 2 });
    },
  });
  expect(asked).toEqual(['list', 'after 1 waiting', 'after 1 at once']);
  expect(told).toEqual(['snapshot a']);
});

// Guards against hundreds of routers that each fetch every change of a busy registry by itself.
test('changes are gathered for longer while another router would tell of the end of the store', async (t) => {
  const pauses: number[] = [];
  const original = globalThis.setTimeout;
  t.mock.method(globalThis, 'setTimeout', (task: () => void, ms?: number) => {
    if (ms === 1_000 || ms === 500) pauses.push(ms);
    return original(task, ms === 1_000 || ms === 500 ? 0 : ms);
  });
  await watchStore({
    options: { peerWatchPauseMs: () => 1_000 },
    answer({ number, version, rowWatch, end }) {
      if (number === 2) rowWatch.applyReport({ answers: true, version: 1 });
      if (number === 3) end();
      return Promise.resolve(noChanges(version));
    },
  });
  expect(pauses.slice(0, 3)).toEqual([500, 500, 1_000]);
});

// Guards against a fleet that reads whole tables anew as soon as the store resets the polls that it
// held for long.
test('after a long poll that failed, changes are asked for and not the whole table', async (t) => {
  let now = 0;
  t.mock.method(performance, 'now', () => now);
  const { asked } = await watchStore({
    answer({ number, version, end }) {
      if (number === 1) {
        now += 15_000;
        return Promise.resolve(unavailable);
      }
      end();
      return Promise.resolve(noChanges(version));
    },
  });
  expect(asked).toEqual(['list', 'after 1 waiting', 'after 1 at once']);
});

// Guards against a watch that asks without a pause once its poll was ended while the table had to
// be read anew.
test('a table that can not be read after a poll was ended is a loss, and is asked for after a pause', async () => {
  const end = new AbortController();
  let lists = 0;
  const { told } = await watchStore({
    list() {
      lists += 1;
      if (lists === 1) return listOf([row('a', 1)])();
      end.abort();
      return Promise.resolve(err(new PlatformError('away', false)));
    },
    async answer({ signal, rowWatch, end: endWatch }) {
      end.signal.addEventListener('abort', endWatch);
      rowWatch.applyReport({ answers: true, version: 2 });
      await isAborted(signal);
      return ok({ kind: 'history-lost' });
    },
  });
  expect(told).toEqual(['snapshot a', 'lost']);
});
