import { test } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import {
  type BalanceServer,
  type Move,
  type ShardLoad,
  assignInitially,
  chooseSuccessors,
  planMoves,
} from '../lib/balance/index.js';

const PROPERTY_OPTIONS = { seed: 6, numRuns: 150 };

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
  fc.assert(property, PROPERTY_OPTIONS);
});

test('a successor is in another availability zone of the owner’s region', () => {
  const servers = serversOf(12);
  const shards = evenLoads(120, servers);
  const serversById = new Map(servers.map((it) => [it.id, it]));
  for (const { shard, successor } of chooseSuccessors(shards, servers)) {
    const owner = serversById.get(shards[shard]?.owner ?? '');
    const next = serversById.get(successor ?? '');
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

test('a draining server loses its shards, and few others move', () => {
  const property = fc.property(
    fc.integer({ min: 3, max: 16 }),
    fc.integer({ min: 64, max: 512 }),
    fc.constantFrom('unavailable-time' as const, 'churn' as const),
    (count, shardCount, weigh) => {
      const servers = serversOf(count);
      const shards = evenLoads(shardCount, servers);
      const state = 'draining' as const;
      const drained = servers.map((it) => (it.id === 's1' ? { ...it, state } : it));
      const { moves } = planMoves({ shards, servers: drained, weigh, budget: 1000 });
      const least = shards.filter((it) => it.owner === 's1').length;
      expect(moves.length <= least * 1.2).toEqual(true);
      expect(moves.every((it) => it.to !== 's1')).toEqual(true);
    },
  );
  fc.assert(property, PROPERTY_OPTIONS);
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
  fc.assert(property, PROPERTY_OPTIONS);
});

const PLAN_OPTIONS = { weigh: 'unavailable-time', budget: 1_000 } as const;

function withLoads(shards: readonly ShardLoad[], loadOf: (shard: number) => number): ShardLoad[] {
  return shards.map((it) => ({ ...it, load: loadOf(it.shard) }));
}

function applyMoves(shards: readonly ShardLoad[], moves: readonly Move[]): ShardLoad[] {
  const targets = new Map(moves.map(({ shard, to }) => [shard, to]));
  return shards.map((it) => ({ ...it, owner: targets.get(it.shard) ?? it.owner }));
}

test('a load that fluctuates around the mean moves nothing after a plan was carried out', () => {
  const loads = fc.array(fc.integer({ min: 1, max: 1000 }), { minLength: 96, maxLength: 96 });
  const property = fc.property(loads, loads, (heavy, noise) => {
    const servers = serversOf(8);
    const skewed = withLoads(evenLoads(96, servers), (shard) => heavy[shard] ?? 0);
    const first = planMoves({ shards: skewed, servers, ...PLAN_OPTIONS });
    const settled = applyMoves(skewed, first.moves);
    const fluctuating = settled.map((it) => ({
      ...it,
      load: it.load * (1 + (noise[it.shard] ?? 0) / 50_000),
    }));
    expect(planMoves({ shards: fluctuating, servers, ...PLAN_OPTIONS }).moves).toEqual([]);
  });
  fc.assert(property, PROPERTY_OPTIONS);
});

test('loads of a dozen shards per server are balanced to within 5 % of the mean', () => {
  const loads = fc.array(fc.integer({ min: 250, max: 1000 }), { minLength: 96, maxLength: 96 });
  const property = fc.property(loads, (heavy) => {
    const servers = serversOf(8);
    const skewed = withLoads(evenLoads(96, servers), (shard) => heavy[shard] ?? 0);
    const { imbalanceBefore, imbalanceAfter } = planMoves({
      shards: skewed,
      servers,
      ...PLAN_OPTIONS,
    });
    expect(imbalanceAfter <= Math.min(imbalanceBefore, 1.1)).toEqual(true);
    if (imbalanceBefore > 1.1) expect(imbalanceAfter <= 1.05).toEqual(true);
  });
  fc.assert(property, PROPERTY_OPTIONS);
});

test('skewed loads are balanced to within the bound that the hottest shard sets', () => {
  const property = fc.property(fc.integer({ min: 1, max: 10_000 }), (seed) => {
    const servers = serversOf(16);
    const loadOf = (shard: number) => 1000 / (1 + ((shard * 7919 + seed) % 512));
    const shards = withLoads(evenLoads(512, servers), loadOf);
    const total = shards.reduce((sum, it) => sum + it.load, 0);
    const hottest = Math.max(...shards.map((it) => it.load));
    const { moves } = planMoves({ shards, servers, ...PLAN_OPTIONS });
    const loads = groupLoads(applyMoves(shards, moves));
    const bound = Math.max(1.15, (hottest * 16) / total + 0.05);
    expect((Math.max(...loads.values()) * 16) / total <= bound).toEqual(true);
  });
  fc.assert(property, PROPERTY_OPTIONS);
});

function groupLoads(shards: readonly ShardLoad[]): Map<string, number> {
  const loads = new Map<string, number>();
  for (const { owner = '', load } of shards) loads.set(owner, load + (loads.get(owner) ?? 0));
  return loads;
}

test('the budget limits balancing but not repairs', () => {
  const servers = serversOf(8).map((it) =>
    it.id === 's1' ? { ...it, state: 'outlier' as const } : it,
  );
  const shards = withLoads(evenLoads(64, serversOf(8)), (shard) => (shard % 8 === 0 ? 9 : 1));
  const { moves } = planMoves({ shards, servers, weigh: 'churn', budget: 3 });
  expect(moves.filter((it) => it.reason === 'owner-outlier').length).toEqual(8);
  expect(moves.filter((it) => it.reason === 'balance').length <= 3).toEqual(true);
});

test('pending moves are not planned again', () => {
  const servers = serversOf(4);
  const shards = withLoads(evenLoads(32, servers), (shard) => (shard % 4 === 0 ? 5 : 1));
  const { moves } = planMoves({ shards, servers, ...PLAN_OPTIONS });
  expect(moves.length > 0).toEqual(true);
  expect(planMoves({ shards, servers, ...PLAN_OPTIONS, pending: moves }).moves).toEqual([]);
});

test('a key with most but not almost all of its shard’s load is suggested as a pin', () => {
  const servers = serversOf(4);
  const shards = withLoads(evenLoads(32, servers), () => 10);
  const hotKeys = [
    { keyHash: 'a', shard: 0, load: 8 },
    { keyHash: 'b', shard: 1, load: 0.5 },
    { keyHash: 'c', shard: 2, load: 10 },
    { keyHash: 'd', shard: 3, load: 8 },
  ];
  const { pinSuggestions } = planMoves({
    shards,
    servers,
    ...PLAN_OPTIONS,
    hotKeys,
    pins: new Set(['d']),
  });
  expect(pinSuggestions).toEqual([{ keyHash: 'a', shard: 0, shareOfServer: 0.1 }]);
});
