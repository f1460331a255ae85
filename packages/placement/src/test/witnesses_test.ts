import { test } from 'node:test';

import { expect } from 'earl';

import { type PlacementNote, WITNESS_TTL_MS, createWitnesses } from '../lib/witnesses.js';

function setUp(candidates: readonly string[]) {
  const told: string[] = [];
  const silent = new Set<string>();
  const pauses: number[] = [];
  let change = 1;
  let now = 0;
  const witnesses = createWitnesses({
    candidates: () => candidates,
    tell(address: string, { isComplete, after, view }: PlacementNote) {
      told.push(`${address} ${isComplete ? 'all' : `after ${after}`} to ${view.change}`);
      return Promise.resolve(silent.has(address) ? 'silent' : 'noted');
    },
    view: () => ({ epoch: 1, change, services: new Map() }),
    changedSince: () => new Map(),
    now: () => now,
    pause(ms: number) {
      pauses.push(ms);
      return Promise.resolve();
    },
  });
  return {
    witnesses,
    told,
    silent,
    pauses,
    advance: (changes: number, ms: number) => {
      change += changes;
      now += ms;
    },
  };
}

// Guards against a move that is ordered before any other router knows of it.
test('two other routers are told the whole placement first, then the changes', async () => {
  const { witnesses, told, advance } = setUp(['a', 'b', 'c']);
  await witnesses.tell();
  advance(2, 0);
  await witnesses.tell();
  await witnesses.tell();
  expect(told).toEqual(['a all to 1', 'b all to 1', 'a after 1 to 3', 'b after 1 to 3']);
  expect(witnesses.addresses()).toEqual(['a', 'b']);
});

test('a router that does not answer is replaced, and passed over for a while', async () => {
  const { witnesses, told, silent, advance } = setUp(['a', 'b', 'c']);
  silent.add('a');
  await witnesses.tell();
  expect(witnesses.addresses()).toEqual(['b', 'c']);
  silent.add('b');
  advance(1, 1_000);
  await witnesses.tell();
  expect(witnesses.addresses()).toEqual(['c']);
  expect(told.filter((it) => it.startsWith('a '))).toEqual(['a all to 1']);
  silent.clear();
  advance(1, 3_000);
  await witnesses.tell();
  expect(witnesses.addresses()).toEqual(['c', 'a']);
});

test('a leader without other routers goes on alone', async () => {
  const { witnesses, told } = setUp([]);
  await witnesses.tell();
  expect(told).toEqual([]);
  expect(witnesses.addresses()).toEqual([]);
});

// Guards against a router that still counts as a witness, and does not know of the next move.
test('a leader without witnesses waits until its former ones do not count any more', async () => {
  const { witnesses, silent, pauses, advance } = setUp(['a']);
  await witnesses.tell();
  silent.add('a');
  advance(1, 0);
  await witnesses.tell();
  expect(pauses).toEqual([WITNESS_TTL_MS]);
  advance(1, 0);
  await witnesses.tell();
  expect(pauses).toEqual([WITNESS_TTL_MS]);
});
