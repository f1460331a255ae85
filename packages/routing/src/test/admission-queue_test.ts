import { test } from 'node:test';

import { expect } from 'earl';

import {
  type AdmissionQueue,
  type AdmissionRefusal,
  type AdmissionRequest,
  type Permit,
  createAdmissionQueue,
  createServerLimiter,
} from '../lib/admission/index.js';
import { FakeClock } from './fake-clock.js';

const SERVICE_MS = 10;
const LATENCY = { kind: 'ok', latencyMs: SERVICE_MS } as const;

function setUp({ liveRouters = 200, maxWaiting = 1_024 } = {}) {
  const clock = new FakeClock();
  const limiter = createServerLimiter({ clock, connections: 130, liveRouters });
  const queue = createAdmissionQueue({ clock, limiter, maxWaiting });
  return { clock, limiter, queue };
}

/** Records the names of admitted requests in order, and the refusals. */
class Recorder {
  readonly admitted: string[] = [];
  readonly refused = new Map<string, AdmissionRefusal>();
  readonly #permits: Permit[] = [];

  async admit(name: string, queue: AdmissionQueue, req: AdmissionRequest): Promise<void> {
    const result = await queue.admit(req);
    if (result.isErr()) {
      this.refused.set(name, result.error);
      return;
    }
    this.admitted.push(name);
    this.#permits.push(result.value);
  }

  /** Ends up to `count` admitted requests one after another, until none is left. */
  async serve(clock: FakeClock, count = Infinity): Promise<void> {
    await settle();
    for (let served = 0; served < count; served += 1) {
      const permit = this.#permits.shift();
      if (!permit) return;
      clock.advance(SERVICE_MS);
      permit.release(LATENCY);
      await settle();
    }
  }
}

/** Runs the callbacks of promises that are already resolved. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test('a batch of one caller does not delay another caller', async () => {
  const { clock, queue } = setUp();
  const recorder = new Recorder();
  for (let i = 0; i < 60; i += 1) {
    void recorder.admit('batch', queue, { caller: 'a', priority: 'normal', deadlineAt: 1000 });
  }
  await recorder.serve(clock, 5);
  void recorder.admit('single', queue, { caller: 'b', priority: 'normal', deadlineAt: 1000 });
  await recorder.serve(clock, 1);
  expect(recorder.admitted.at(-1)).toEqual('single');
});

test('two callers with batches are served in turn', async () => {
  const { clock, queue } = setUp();
  const recorder = new Recorder();
  for (const caller of ['a', 'b']) {
    for (let i = 0; i < 20; i += 1) {
      void recorder.admit(caller, queue, { caller, priority: 'normal', deadlineAt: 10_000 });
    }
  }
  await recorder.serve(clock, 20);
  const served = recorder.admitted.slice(0, 20).filter((it) => it === 'b').length;
  expect(served >= 9).toEqual(true);
});

test('a stream of new callers does not starve a caller with a queue', async () => {
  const { clock, queue } = setUp();
  const recorder = new Recorder();
  const req = { priority: 'normal', deadlineAt: 100_000 } as const;
  for (let i = 0; i < 40; i += 1) void recorder.admit('batch', queue, { ...req, caller: 'a' });
  for (let i = 0; i < 40; i += 1) void recorder.admit('new', queue, { ...req, caller: `${i}` });
  await recorder.serve(clock, 40);
  const batch = recorder.admitted.filter((it) => it === 'batch').length;
  expect(batch >= 15 && batch <= 25).toEqual(true);
});

test('one high-priority request may exceed the limit, but a second one waits', async () => {
  const { queue } = setUp({ liveRouters: 20 });
  const recorder = new Recorder();
  const req = { caller: 'a', deadlineAt: 10_000 } as const;
  for (let i = 0; i < 10; i += 1) {
    void recorder.admit('browsing', queue, { ...req, priority: 'normal' });
  }
  for (let i = 0; i < 2; i += 1)
    void recorder.admit('payment', queue, { ...req, priority: 'high' });
  await settle();
  expect(recorder.admitted.filter((it) => it === 'payment').length).toEqual(1);
});

test('high priority is served first, and low priority gets its guaranteed share', async () => {
  const { clock, queue } = setUp();
  const recorder = new Recorder();
  const deadlineAt = 100_000;
  for (let i = 0; i < 100; i += 1) {
    void recorder.admit('low', queue, { caller: 'a', priority: 'low', deadlineAt });
    void recorder.admit('high', queue, { caller: 'a', priority: 'high', deadlineAt });
  }
  await recorder.serve(clock, 100);
  const low = recorder.admitted.slice(0, 100).filter((it) => it === 'low').length;
  expect(low >= 4 && low <= 7).toEqual(true);
});

test("a request that can't finish before its deadline is refused on arrival", async () => {
  const { queue } = setUp();
  const recorder = new Recorder();
  for (let i = 0; i < 50; i += 1) {
    void recorder.admit(`${i}`, queue, { caller: 'a', priority: 'normal', deadlineAt: 100 });
  }
  await settle();
  expect(recorder.refused.size >= 40).toEqual(true);
  const refusal = recorder.refused.get('49');
  expect(refusal?.kind).toEqual('overloaded');
  expect((refusal?.retryAfterMs ?? 0) > 0).toEqual(true);
});

test('a refused request is admitted after the retry delay of its refusal', async () => {
  const { clock, queue } = setUp();
  const recorder = new Recorder();
  const req = { caller: 'a', priority: 'normal' } as const;
  for (let i = 0; i < 12; i += 1) {
    void recorder.admit(`${i}`, queue, { ...req, deadlineAt: 100 });
  }
  await settle();
  const retryAfterMs = recorder.refused.get('11')?.retryAfterMs ?? 0;
  await recorder.serve(clock, Math.ceil(retryAfterMs / SERVICE_MS));
  void recorder.admit('again', queue, { ...req, deadlineAt: clock.now() + 100 });
  await recorder.serve(clock);
  expect(recorder.admitted.at(-1)).toEqual('again');
});

test("a waiting request is refused once its deadline can't be met", async () => {
  const { clock, queue } = setUp();
  const recorder = new Recorder();
  const req = { caller: 'a', priority: 'normal' } as const;
  void recorder.admit('stuck', queue, { ...req, deadlineAt: 5_000 });
  void recorder.admit('waiting', queue, { ...req, deadlineAt: 50 });
  clock.advance(50);
  await settle();
  expect(recorder.refused.get('waiting')?.kind).toEqual('expired');
});

test('a cancelled request leaves the queue', async () => {
  const { queue } = setUp();
  const recorder = new Recorder();
  const abort = new AbortController();
  const req = { caller: 'a', priority: 'normal', deadlineAt: 1_000 } as const;
  void recorder.admit('running', queue, req);
  void recorder.admit('waiting', queue, { ...req, signal: abort.signal });
  abort.abort();
  await settle();
  expect(recorder.refused.get('waiting')?.kind).toEqual('cancelled');
  expect(queue.state().waiting.normal).toEqual(0);
});

test('a full queue evicts requests of the caller with the most waiting requests', async () => {
  const { queue } = setUp({ maxWaiting: 10 });
  const recorder = new Recorder();
  const req = { priority: 'normal', deadlineAt: 10_000 } as const;
  for (let i = 0; i < 20; i += 1) {
    void recorder.admit(`batch ${i}`, queue, { ...req, caller: 'a' });
  }
  void recorder.admit('single', queue, { ...req, caller: 'b' });
  await settle();
  expect(recorder.refused.size).toEqual(10);
  expect(recorder.refused.has('single')).toEqual(false);
});
