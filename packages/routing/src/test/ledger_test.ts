import { test } from 'node:test';

import { RESULT_CODES } from '@boragepoint/config';
import { expect } from 'earl';

import { type DispatchOutcome, intentRowKey, parseIntent } from '../index.js';
import { createFaultyTable } from './faulty-table.js';
import { SERVICE, createFixture, eventually } from './ledger-fixture.js';

const LARGE_BYTES = 20_000;
const NOT_CONNECTED: DispatchOutcome = { kind: 'not-run', reason: 'refused', mayRetry: false };

/** Longer than the deadline of the request that it hits. */
const STALL_MS = 20;

/** Stops this thread, as a machine that runs other programs does. */
function stallProcess(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, ms);
}

function request(key: string, fingerprint = 'f') {
  const deadlineAt = performance.now() + 10_000;
  return { service: SERVICE, idempotencyKey: key, fingerprint, deadlineAt };
}

for (const bytes of [10, LARGE_BYTES]) {
  test(`a repeat through another keeper gets the recorded answer of ${bytes} bytes`, async () => {
    const { keeper, objects } = createFixture();
    const body = new Uint8Array(bytes).fill(7);
    const answer = { status: 201, headers: [{ name: 'a', value: 'b' }], body };
    const first = keeper('a');
    const begun = await first.begin(request('k'));
    if (begun.kind !== 'started') throw new Error(begun.kind);
    expect(await first.finish(begun.handle, answer)).toEqual('recorded');
    expect(await keeper('b').begin(request('k'))).toEqual({ kind: 'done', answer });
    expect(objects.stored.size).toEqual(bytes === LARGE_BYTES ? 1 : 0);
  });
}

test('an answer whose object is missing or changed is never returned', async () => {
  const { keeper, objects } = createFixture();
  const first = keeper('a');
  const begun = await first.begin(request('k'));
  if (begun.kind !== 'started') throw new Error(begun.kind);
  await first.finish(begun.handle, { status: 200, headers: [], body: new Uint8Array(LARGE_BYTES) });
  for (const key of objects.stored.keys()) objects.stored.set(key, new Uint8Array(LARGE_BYTES - 1));
  expect(await keeper('b').begin(request('k'))).toEqual({ kind: 'expired' });
});

test('a key that was used for another request is refused', async () => {
  const { keeper, send } = createFixture();
  const ledger = keeper('a');
  expect(await send(ledger, 'k')).toEqual('answered');
  expect(await ledger.begin(request('k', 'other'))).toEqual({ kind: 'reused' });
  expect(await keeper('b').begin(request('k', 'other'))).toEqual({ kind: 'reused' });
});

test('repeats that arrive while the first try runs wait for its answer', async () => {
  const { keeper, send, runsOf } = createFixture();
  const ledger = keeper('a');
  const seen = await Promise.all([send(ledger, 'k'), send(ledger, 'k'), send(ledger, 'k')]);
  expect(seen.sort()).toEqual(['answered', 'replayed', 'replayed']);
  expect(runsOf('k')).toEqual(1);
});

test('a caller is answered at its deadline, and a repeat gets the late answer', async () => {
  const { keeper, send, runAtServer, runsOf } = createFixture();
  const ledger = keeper('a');
  let answer!: () => void;
  const answered = new Promise<void>((resolve) => (answer = resolve));
  const slow = () => answered.then(() => runAtServer('k'));
  const soon = { deadlineAt: performance.now() + 500 };
  expect(await send(ledger, 'k', slow, soon)).toEqual(RESULT_CODES.deadlinePassed);
  const repeat = send(ledger, 'k');
  answer();
  expect(await repeat).toEqual('replayed');
  expect(runsOf('k')).toEqual(1);
});

test('a request that provably did not run may run at another keeper', async () => {
  const { keeper, send, runsOf } = createFixture();
  const first = keeper('a');
  const seen = await send(first, 'k', () => Promise.resolve(NOT_CONNECTED));
  expect(seen).toEqual(RESULT_CODES.ownerUnreachable);
  await eventually(() => first.stats().unrecorded === 0);
  expect(await send(keeper('b'), 'k')).toEqual('answered');
  expect(runsOf('k')).toEqual(1);
});

test('attempts that provably did not run are retried while the owner changes', async () => {
  const { keeper, send, runAtServer, runsOf } = createFixture();
  let refusals = 5;
  const movingOwner = () => {
    refusals -= 1;
    const refused: DispatchOutcome = { kind: 'not-run', reason: 'stale epoch' };
    return Promise.resolve(refusals >= 0 ? refused : runAtServer('k'));
  };
  expect(await send(keeper('a'), 'k', movingOwner)).toEqual('answered');
  expect(runsOf('k')).toEqual(1);
});

test('an unknown outcome is never dispatched again', async () => {
  const { keeper, send, runsOf } = createFixture();
  const first = keeper('a');
  const lost: DispatchOutcome = { kind: 'unknown', reason: 'connection lost' };
  const seen = await send(first, 'k', () => Promise.resolve(lost));
  expect(seen).toEqual(RESULT_CODES.outcomeUnknown);
  expect(await send(first, 'k')).toEqual(RESULT_CODES.outcomeUnknown);
  expect(await send(keeper('b'), 'k')).toEqual(RESULT_CODES.outcomeUnknown);
  expect(runsOf('k')).toEqual(0);
});

test('a request without a key is dispatched once and not recorded', async () => {
  const { keeper, send, table } = createFixture();
  let dispatched = 0;
  const refuse = () => {
    dispatched += 1;
    return Promise.resolve<DispatchOutcome>({ kind: 'not-run', reason: 'refused' });
  };
  await send(keeper('a'), 'k', refuse, { idempotencyKey: undefined });
  expect(dispatched).toEqual(1);
  expect((await table.scan('intent/'))._unsafeUnwrap()).toEqual([]);
});

test('while the table is unavailable, a request is refused with a retry delay and does not run', async () => {
  const fixture = createFixture();
  const table = createFaultyTable(fixture.table, () => 'refused');
  const ledger = fixture.keeper('a', { table });
  const begun = await ledger.begin(request('k'));
  expect(begun).toEqual({ kind: 'unavailable', earlierAttempt: 'none', retryAfterMs: 1_000 });
});

test('a repeat is answered from a read while the table rejects writes', async () => {
  const fixture = createFixture();
  const first = fixture.keeper('a');
  await fixture.send(first, 'k');
  await eventually(() => first.stats().unrecorded === 0);
  const table = createFaultyTable(fixture.table, () => 'refused');
  expect(await fixture.send(fixture.keeper('b', { table }), 'k')).toEqual('replayed');
});

test('an answer that the table rejects is kept in memory and recorded later', async () => {
  const fixture = createFixture();
  let isDown = false;
  const table = createFaultyTable(fixture.table, () => (isDown ? 'refused' : 'answered'));
  const ledger = fixture.keeper('a', { table, config: { recordRetries: 10_000 } });
  const seen = await fixture.send(ledger, 'k', () => {
    isDown = true;
    return Promise.resolve(fixture.runAtServer('k'));
  });
  expect(seen).toEqual('answered');
  expect(await fixture.send(ledger, 'k')).toEqual('replayed');
  isDown = false;
  await eventually(() => ledger.stats().unrecorded === 0);
  expect(await fixture.send(fixture.keeper('b'), 'k')).toEqual('replayed');
});

test('a request whose outcome is neither in the table nor in memory does not run again', async () => {
  const fixture = createFixture();
  let isDown = false;
  const table = createFaultyTable(fixture.table, () => (isDown ? 'refused' : 'answered'));
  const config = { recordRetries: 0, memoryBytes: 1 };
  const ledger = fixture.keeper('a', { table, config });
  await fixture.send(ledger, 'k', () => {
    isDown = true;
    return Promise.resolve(fixture.runAtServer('k'));
  });
  await eventually(() => ledger.stats().recordsLost === 1);
  isDown = false;
  expect(await fixture.send(ledger, 'k')).toEqual(RESULT_CODES.outcomeUnknown);
  expect(fixture.runsOf('k')).toEqual(1);
});

/**
 * Repeats a request until the table was sent its intent. A process that stalls past the deadline
 * withdraws the intent before that, which is another case than the one tested.
 */
async function refuseOnceSent(
  table: { transactions(): number },
  request: () => Promise<void>,
): Promise<void> {
  do await request();
  while (table.transactions() === 0);
}

// A process that stalled until the deadline sent no intent; tests of late intents took it for one.
test('an intent is withdrawn when the deadline passes before it was sent', async () => {
  const fixture = createFixture();
  const table = createFaultyTable(fixture.table, () => 'answered');
  const ledger = fixture.keeper('a', { table });
  const seen = fixture.send(ledger, 'k', undefined, { deadlineAt: performance.now() + 15 });
  while (ledger.stats().rowsQueued === 0) await Promise.resolve();
  stallProcess(STALL_MS);
  expect(await seen).toEqual(RESULT_CODES.tableUnavailable);
  expect(table.transactions()).toEqual(0);
  expect(await fixture.send(ledger, 'k')).toEqual('answered');
});

test('an intent committed after its caller was refused does not block a repeat', async () => {
  const fixture = createFixture();
  const faults = ['delayed', 'refused'] as const;
  let calls = 0;
  let isDown = true;
  const table = createFaultyTable(fixture.table, () =>
    isDown ? (faults[calls++] ?? 'refused') : 'answered',
  );
  const ledger = fixture.keeper('a', { table, config: { recordRetries: 10_000 } });
  await refuseOnceSent(table, async () => {
    const deadlineAt = performance.now() + 15;
    const seen = await fixture.send(ledger, 'k', undefined, { deadlineAt });
    expect(seen).toEqual(RESULT_CODES.tableUnavailable);
  });
  await table.deliverDelayed();
  const key = intentRowKey(SERVICE, 'k');
  const rows = (await fixture.table.read([key]))._unsafeUnwrap();
  expect(rows.map((row) => parseIntent(row)?.outcome.state)).toEqual(['pending']);
  isDown = false;
  expect(await fixture.send(ledger, 'k')).toEqual('answered');
  expect(fixture.runsOf('k')).toEqual(1);
});

test('an intent committed after its caller was refused is marked as not run for other keepers', async () => {
  const fixture = createFixture();
  let isDown = true;
  const table = createFaultyTable(fixture.table, () => (isDown ? 'lost-after' : 'answered'));
  const ledger = fixture.keeper('a', { table, config: { recordRetries: 10_000 } });
  await refuseOnceSent(table, async () => {
    const deadlineAt = performance.now() + 15;
    await fixture.send(ledger, 'k', undefined, { deadlineAt });
  });
  isDown = false;
  const other = fixture.keeper('b');
  await eventually(async () => (await fixture.send(other, 'k')) !== RESULT_CODES.outcomeUnknown);
  expect(fixture.runsOf('k')).toEqual(1);
});

test('many requests share transactions, and one in conflict does not delay the others', async () => {
  const fixture = createFixture();
  await fixture.keeper('a').begin(request('k-3'));
  const table = createFaultyTable(fixture.table, () => 'answered');
  const ledger = fixture.keeper('b', { table });
  const keys = Array.from({ length: 10 }, (_, i) => `k-${i}`);
  const begun = await Promise.all(keys.map((key) => ledger.begin(request(key))));
  expect(begun.filter((it) => it.kind === 'started').length).toEqual(9);
  expect(begun[3]).toEqual({ kind: 'unfinished', reason: 'pending-elsewhere' });
  expect(table.transactions()).toEqual(2);
});

test('a time-ordered key is refused if it is older than the retention time or in the future', async () => {
  const { keeper } = createFixture();
  const createdAtMs = 1_750_000_000_000;
  const hex = createdAtMs.toString(16).padStart(12, '0');
  const key = `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000000`;
  const beginAt = (wallMs: number) => {
    const clock = { now: () => performance.now(), wallNow: () => wallMs };
    const config = { retentionMs: 1_000, clockSkewMs: 100 };
    return keeper(`at-${wallMs}`, { clock, config }).begin(request(key));
  };
  expect((await beginAt(createdAtMs - 101)).kind).toEqual('bad-key');
  expect((await beginAt(createdAtMs + 1_001)).kind).toEqual('expired');
  expect((await beginAt(createdAtMs + 1_000)).kind).toEqual('started');
});
