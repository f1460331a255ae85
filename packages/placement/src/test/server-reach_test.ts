import { test } from 'node:test';

import type { OrderOutcome } from '@boragepoint/platform';
import { expect } from 'earl';

import { type ReachRequest, createServerReach } from '../lib/server-reach.js';

const TARGET = { serverId: 'a', address: 'a:1' };
const RELEASE = { first: 0, last: 9, fence: 3 };
const DONE: OrderOutcome = { kind: 'done', handover: 'state' };

/** A leader whose other routers answer as told; `asked` are the questions in their order. */
function setUp(answers: Readonly<Record<string, OrderOutcome['kind']>>) {
  const asked: string[] = [];
  let now = 1_000;
  const reach = createServerReach({
    others: () => Object.keys(answers),
    ask(router: string, { release }: ReachRequest) {
      asked.push(release ? `release ${router}` : router);
      const kind = answers[router] ?? 'unanswered';
      return Promise.resolve(kind === 'done' ? DONE : { kind });
    },
    now: () => now,
    random: () => 0.5,
  });
  const advance = (ms: number) => (now += ms);
  return { reach, asked, advance };
}

test('a server is refused to all if all other routers are refused', async () => {
  const { reach, asked } = setUp({ r1: 'closed', r2: 'closed' });
  expect(await reach.isRefusedToAll(TARGET)).toEqual(true);
  expect(asked).toEqual(['r1', 'r2']);
});

// Guards against two holders when only some paths to a server are cut.
for (const kind of ['done', 'unanswered', 'misdirected'] as const) {
  test(`a server is not known to be refused to all if a router answers: ${kind}`, async () => {
    const { reach } = setUp({ r1: 'closed', r2: kind });
    expect(await reach.isRefusedToAll(TARGET)).toEqual(false);
  });
}

test('a router that knows no other one does not know a server as refused to all', async () => {
  const { reach } = setUp({});
  expect(await reach.isRefusedToAll(TARGET)).toEqual(false);
  expect(await reach.release(TARGET, RELEASE, 100)).toEqual({ kind: 'unreachable' });
});

test('a release goes over a router that reaches the server', async () => {
  const { reach, asked } = setUp({ r1: 'closed', r2: 'done' });
  expect(await reach.release(TARGET, RELEASE, 100)).toEqual(DONE);
  expect(asked).toEqual(['r1', 'r2', 'release r2']);
});

// Bounds the calls of a leader while a server of many ranges is cut off from it.
test('questions about one address are asked once in 300 ms, and of 32 routers at most', async () => {
  const many = Array.from({ length: 100 }, (_, index) => [`r${index}`, 'closed'] as const);
  const { reach, asked, advance } = setUp(Object.fromEntries(many));
  await Promise.all([reach.isRefusedToAll(TARGET), reach.isRefusedToAll(TARGET)]);
  await reach.isRefusedToAll(TARGET);
  expect(new Set(asked).size).toEqual(32);
  expect(asked.length).toEqual(32);
  advance(300);
  expect(await reach.isRefusedToAll(TARGET)).toEqual(true);
  expect(asked.length).toEqual(64);
});
