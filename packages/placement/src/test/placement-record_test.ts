import { test } from 'node:test';

import { expect } from 'earl';

import { divideKeys } from '../lib/key-range.js';
import { type Placement, decodePlacement, encodePlacement } from '../lib/placement-record.js';

const incarnationOf = (number: number) => ({
  server: `i-${number.toString(16).padStart(10, '0')}`,
  address: `10.128.${number >> 8}.${number & 255}:8080`,
  startedMs: 1_790_000_000_000 + number,
});

function placementOf(servers: number, ranges: number): Placement {
  const records = divideKeys(ranges).map((span, index) => ({
    ...span,
    owner: { incarnation: incarnationOf(index % servers), fence: index + 1, settled: false },
    former:
      index % 2 === 0
        ? [
            {
              incarnation: incarnationOf((index + 1) % servers),
              fence: index,
              settled: index % 4 === 0,
            },
          ]
        : [],
  }));
  return {
    leaderLease: {
      router: 'r',
      address: '10.0.0.1:7',
      startedMs: 5,
      epoch: 3,
      untilMs: 9,
      handedOver: false,
      successor: '',
      unansweredForMs: 0,
    },
    version: 7,
    change: 8,
    nextFence: 900,
    services: new Map([['s', records]]),
    suspects: [],
    peers: ['10.0.0.2:7'],
  };
}

test('a placement is decoded as it was encoded', () => {
  const placement = placementOf(3, 9);
  const row = { key: 'placement', version: 1, value: encodePlacement(placement) };
  expect(decodePlacement(row)._unsafeUnwrap()).toEqual(placement);
});

test('the placement of 120 servers with 600 ranges fits into a row of the store', () => {
  const bytes = encodePlacement(placementOf(120, 600)).length;
  expect((bytes * 4) / 3 < 65_536).toEqual(true);
});

test('a row without a valid placement is an error', () => {
  const row = { key: 'placement', version: 1, value: Buffer.from('no placement') };
  expect(decodePlacement(row).isErr()).toEqual(true);
});
