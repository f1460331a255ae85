import { test } from 'node:test';

import { expect } from 'earl';
import { Hono } from 'hono';

import { BROWSE, PAY } from '../lib/demo/demo-plan.js';
import { listen, type NodeEnv } from '../lib/listen.js';
import { createKeyPicker } from '../lib/load/key-picker.js';
import type { LoadPlan } from '../lib/load/load-plan.js';
import { runLoad } from '../lib/load/run-load.js';
import { createRandom } from '../lib/random.js';

const NOT_RUN = { status: 503, headers: { 'bp-result': '101' } } as const;

type Handler = (path: string, attempt: number) => Response | undefined;

/** Sends ten requests to a fake router that answers by the handler, or else with success. */
async function runAgainst(change: Partial<LoadPlan>, handler: Handler) {
  const attempts = new Map<string, number>();
  const app = new Hono<NodeEnv>();
  app.all('*', (c) => {
    const url = new URL(c.req.url);
    const path = url.pathname + url.search;
    const attempt = (attempts.get(path) ?? 0) + 1;
    attempts.set(path, attempt);
    return handler(path, attempt) ?? c.json({ server: 'a', path });
  });
  await using listener = await listen(app, 0);
  const result = await runLoad({
    seed: 7,
    ratePerSecond: 1_000,
    requests: 10,
    kinds: [BROWSE],
    keys: { kind: 'uniform', count: 5 },
    callers: ['a'],
    routers: () => [listener.address],
    timeoutMs: 1_000,
    maxAttempts: 2,
    retryAfterMs: 1,
    ...change,
  });
  const [kind] = result.kinds;
  if (kind === undefined) throw new Error('the load has no result');
  return { ...kind, sent: [...attempts.values()].reduce((sum, it) => sum + it, 0) };
}

test('a request that is refused once and then answered counts as ok', async () => {
  const result = await runAgainst({}, (_, attempt) =>
    attempt === 1 ? new Response(null, NOT_RUN) : undefined,
  );
  expect([result.requests, result.ok, result.attempts]).toEqual([10, 10, 20]);
  expect(result.codes).toEqual({ '0': 10, '101': 10 });
});

test('an error answer without a result code counts as lost', async () => {
  const result = await runAgainst({}, () => new Response(null, { status: 502 }));
  expect([result.ok, result.lost]).toEqual([0, 10]);
});

test('an answer that belongs to another request counts as mismatched', async () => {
  const body = { server: 'a', path: '/vitrina/prints/key-1?n=999' };
  const result = await runAgainst({}, () => Response.json(body));
  expect(result.mismatched).toEqual(10);
});

test('with a repeat share of 1, every non-idempotent request is sent twice', async () => {
  const kinds = [{ ...PAY, repeatShare: 1 }];
  const result = await runAgainst({ kinds, maxAttempts: 1 }, () => undefined);
  expect([result.requests, result.sent]).toEqual([10, 20]);
});

test('the same seed gives the same keys', () => {
  const plan = { kind: 'zipf', count: 100, exponent: 1.1, rotateEveryMs: 50 } as const;
  const draw = () => {
    const pick = createKeyPicker(plan, createRandom(3));
    return Array.from({ length: 50 }, (_, index) => pick(index * 10));
  };
  expect(draw()).toEqual(draw());
});

test('the hottest key of a zipf load changes with each rotation', () => {
  const plan = { kind: 'zipf', count: 100, exponent: 3, rotateEveryMs: 1_000 } as const;
  const pick = createKeyPicker(plan, createRandom(3));
  const hottest = (atMs: number) => {
    const counts = new Map<string, number>();
    for (let i = 0; i < 200; i += 1) {
      const key = pick(atMs);
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0];
  };
  expect(hottest(0)).not.toEqual(hottest(1_500));
});
