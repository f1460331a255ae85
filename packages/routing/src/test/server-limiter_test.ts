import { test } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import {
  type Outcome,
  type ServerLimiter,
  connectionShare,
  createServerLimiter,
} from '../lib/admission/index.js';
import { FakeClock } from './fake-clock.js';

const SERVICE_MS = 5;
const OK = { kind: 'ok', latencyMs: SERVICE_MS, serverLoad: 1 } as const;
const TIMEOUT = { kind: 'timeout', latencyMs: 500 } as const;

function setUp(options: { cold?: boolean; liveRouters?: number } = {}) {
  const clock = new FakeClock();
  const limiter = createServerLimiter({
    clock,
    connections: 130,
    liveRouters: 12,
    random: () => 0.5,
    ...options,
  });
  return { clock, limiter };
}

/** Keeps the limiter full for `forMs` milliseconds; each request ends with the given outcome. */
function saturate(limiter: ServerLimiter, clock: FakeClock, forMs: number, outcome: Outcome) {
  const end = clock.now() + forMs;
  while (clock.now() < end) {
    const tokens = [];
    for (let it = limiter.tryAcquire(); it; it = limiter.tryAcquire()) tokens.push(it);
    clock.advance(Math.max(1, outcome.latencyMs));
    for (const token of tokens) token.release(outcome);
  }
}

/** Admits requests one after another and ends each with the given outcome. */
function endRequests(limiter: ServerLimiter, times: number, outcome: Outcome): void {
  for (let i = 0; i < times; i += 1) limiter.tryAcquire()?.release(outcome);
}

test('the shares of all routers stay within the connections of the server', () => {
  const property = fc.property(
    fc.integer({ min: 1, max: 200 }),
    fc.integer({ min: 1, max: 50 }),
    (connections, routers) => {
      const share = connectionShare(connections, routers);
      expect(share >= 1).toEqual(true);
      expect(share * routers <= Math.max(connections, routers)).toEqual(true);
    },
  );
  fc.assert(property, { seed: 6, numRuns: 200 });
  expect(connectionShare(130, 12)).toEqual(10);
  expect(connectionShare(110, 12)).toEqual(8);
});

test('the limit grows up to the share while the latency does not rise, and follows the share', () => {
  const { clock, limiter } = setUp();
  saturate(limiter, clock, 10_000, OK);
  expect(limiter.state().limit).toEqual(10);
  limiter.setLiveRouters(40);
  expect(limiter.state().limit).toEqual(3);
  limiter.setLiveRouters(1_000);
  expect(limiter.state().limit).toEqual(1);
});

test('the limit falls to one when the latency grows tenfold', () => {
  const { clock, limiter } = setUp();
  saturate(limiter, clock, 5_000, OK);
  saturate(limiter, clock, 5_000, { kind: 'ok', latencyMs: SERVICE_MS * 10, serverLoad: 20 });
  expect(limiter.state().limit).toEqual(1);
});

test('an overload does not become the baseline if the server always reports a free slot', () => {
  for (const rule of ['', 'new']) {
    const { clock, limiter } = setUp();
    endRequests(limiter, 100, { ...OK, serverLoad: 0 });
    const congested = { kind: 'ok', latencyMs: SERVICE_MS * 10, serverLoad: 0, rule } as const;
    saturate(limiter, clock, 10_000, congested);
    expect(limiter.state().limit).toEqual(1);
    expect(limiter.state().baselineMs <= SERVICE_MS * 5).toEqual(true);
  }
});

test('a rule that costs more than others does not lower the limit once it is known', () => {
  const { clock, limiter } = setUp();
  const costly = { ...OK, latencyMs: SERVICE_MS * 2.5, rule: 'report' };
  endRequests(limiter, 100, costly);
  saturate(limiter, clock, 5_000, { ...OK, rule: 'browse' });
  expect(limiter.state().limit).toEqual(10);
  saturate(limiter, clock, 5_000, costly);
  expect(limiter.state().limit).toEqual(10);
});

test('a refusal lowers the limit', () => {
  const { clock, limiter } = setUp();
  saturate(limiter, clock, 5_000, OK);
  endRequests(limiter, 1, { kind: 'refused', latencyMs: 1 });
  expect(limiter.state().limit).toEqual(7);
});

test('the limit of a cold server rises gradually', () => {
  const { clock, limiter } = setUp({ cold: true });
  expect(limiter.state().limit).toEqual(1);
  saturate(limiter, clock, 2_500, OK);
  expect(limiter.state().limit <= 6).toEqual(true);
  saturate(limiter, clock, 3_000, OK);
  expect(limiter.state().limit).toEqual(10);
});

test('failures open the circuit whatever the health report says', () => {
  const { limiter } = setUp();
  limiter.reportHealth(true);
  endRequests(limiter, 5, TIMEOUT);
  expect(limiter.state().circuit).toEqual('open');
  expect(limiter.tryAcquire()).toEqual(undefined);
});

test('an unhealthy report alone does not open the circuit, but fewer failures then do', () => {
  const { limiter } = setUp();
  limiter.reportHealth(false);
  endRequests(limiter, 10, OK);
  expect(limiter.state().circuit).toEqual('closed');
  endRequests(limiter, 2, TIMEOUT);
  expect(limiter.state().circuit).toEqual('open');
});

test('timeouts of requests that had little time left do not open the circuit', () => {
  const { clock, limiter } = setUp();
  saturate(limiter, clock, 2_000, OK);
  endRequests(limiter, 50, { kind: 'timeout', latencyMs: SERVICE_MS });
  expect(limiter.state().circuit).toEqual('closed');
});

test('a half-open circuit admits one probe at a time; three successes close it into slow start', () => {
  const { clock, limiter } = setUp();
  endRequests(limiter, 5, TIMEOUT);
  clock.advance(200);
  const probe = limiter.tryAcquire();
  expect(limiter.tryAcquire()).toEqual(undefined);
  probe?.release(OK);
  endRequests(limiter, 2, OK);
  expect(limiter.state().circuit).toEqual('closed');
  expect(limiter.state().limit).toEqual(1);
});

test('a failed probe opens the circuit for twice the time', () => {
  const { clock, limiter } = setUp();
  endRequests(limiter, 5, TIMEOUT);
  clock.advance(200);
  endRequests(limiter, 1, TIMEOUT);
  expect(limiter.state().retryInMs).toEqual(400);
});

test('outcomes of requests from before the circuit opened do not count as probes', () => {
  const { clock, limiter } = setUp();
  const late = limiter.tryAcquire();
  endRequests(limiter, 5, TIMEOUT);
  clock.advance(200);
  late?.release(TIMEOUT);
  expect(limiter.state().circuit).toEqual('half-open');
});
