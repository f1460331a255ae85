import { test } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import {
  type BalanceServer,
  type ShardLoad,
  assignInitially,
  chooseSuccessors,
  planMoves,
} from '../lib/balance/index.js';

const PROPERTY = { seed: 6, numRuns: 150 };

function serversOf(count: number): BalanceServer[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `s${i}`,
    availabilityZone: `z${i % 4}`,
    region: `r${i % 2}`,
    state: 'live',
    slots: 2,
  }));
}

function evenLoads(shardCount: number, servers: readonly BalanceServer[]): ShardLoad[] {
  return assignInitially(shardCount, servers).map((it) => ({ ...it, load: 1 }));
}

test('initial owners are even by count and independent of the order of servers', () => {
  const property = fc.property(fc.integer({ min: 1, max: 20 }), fc.nat(300), (count, shards) => {
    const servers = serversOf(count);
    const owners = assignInitially(shards, servers);
    const counts = servers.map(({ id }) => owners.filter((it) => it.owner === id).length);
    expect(Math.max(...counts) - Math.min(...counts) <= 1).toEqual(true);
    expect(assignInitially(shards, servers.toReversed())).toEqual(owners);
  });
  fc.assert(property, PROPERTY);
});

test('a successor stands in another availability zone of the region and spreads evenly', () => {
  const servers = serversOf(12);
  const shards = evenLoads(120, servers);
  const zones = new Map(servers.map((it) => [it.id, it]));
  for (const { shard, successor } of chooseSuccessors(shards, servers)) {
    const owner = zones.get(shards[shard]?.owner ?? '');
    const next = zones.get(successor ?? '');
    expect(next?.region).toEqual(owner?.region);
    expect(next?.availabilityZone === owner?.availabilityZone).toEqual(false);
  }
});

test('a stored successor is kept while it is valid and replaced once it drains', () => {
  const servers = serversOf(8);
  const shards = evenLoads(64, servers);
  const first = chooseSuccessors(shards, servers);
  const stored = shards.map((it) => ({ ...it, successor: first[it.shard]?.successor }));
  expect(chooseSuccessors(stored, servers)).toEqual(first);
  const drained = servers.map((it) =>
    it.id === 's3' ? { ...it, state: 'draining' as const } : it,
  );
  const second = chooseSuccessors(stored, drained);
  expect(second.some((it) => it.successor === 's3')).toEqual(false);
});

test('a leaving server moves its own shards and little else', () => {
  const property = fc.property(
    fc.integer({ min: 3, max: 16 }),
    fc.integer({ min: 64, max: 512 }),
    fc.constantFrom('unavailable-time' as const, 'churn' as const),
    (count, shardCount, weigh) => {
      const servers = serversOf(count);
      const shards = evenLoads(shardCount, servers);
      const state = 'draining' as const;
      const leaving = servers.map((it) => (it.id === 's1' ? { ...it, state } : it));
      const { moves } = planMoves({ shards, servers: leaving, weigh, budget: 1000 });
      const least = shards.filter((it) => it.owner === 's1').length;
      expect(moves.length <= least * 1.2).toEqual(true);
      expect(moves.every((it) => it.to !== 's1')).toEqual(true);
    },
  );
  fc.assert(property, PROPERTY);
});

test('a joining server takes its share and nothing else moves', () => {
  const property = fc.property(
    fc.integer({ min: 2, max: 16 }),
    fc.integer({ min: 64, max: 512 }),
    (count, shardCount) => {
      const shards = evenLoads(shardCount, serversOf(count));
      const servers = serversOf(count + 1);
      const { moves } = planMoves({ shards, servers, weigh: 'unavailable-time', budget: 1000 });
      const least = Math.floor(shardCount / (count + 1));
      expect(moves.length <= least * 1.2).toEqual(true);
      expect(moves.length >= least * 0.8).toEqual(true);
      expect(moves.every((it) => it.to === `s${count}`)).toEqual(true);
    },
  );
  fc.assert(property, PROPERTY);
});
