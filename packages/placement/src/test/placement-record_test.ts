import { test } from 'node:test';

import { type PlacementRecord, PlacementRecordSchema } from '@boragepoint/protocol';
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { expect } from 'earl';

import { divideKeys } from '../lib/key-range.js';
import { type Placement, decodePlacement, encodePlacement } from '../lib/placement-record.js';

type Mutable = PlacementRecord;

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
    strongestCapacity: 0.675,
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

function decodeChanged(change: (placement: Mutable) => void) {
  const message = fromBinary(PlacementRecordSchema, encodePlacement(placementOf(3, 9)));
  change(message);
  const value = toBinary(PlacementRecordSchema, message);
  return decodePlacement({ key: 'placement', version: 1, value });
}

// Guards against a row that its reader can't write again: the leader's encoder throws.
test('a row with a number beyond what can be counted exactly is an error', () => {
  const large = 2n ** 63n - 1n;
  const changes: ((it: Mutable) => void)[] = [
    (it) => (it.version = large),
    (it) => (it.change = large),
    (it) => (it.nextFence = 2n ** 64n - 1n),
    (it) => it.seat && (it.seat.epoch = large),
    (it) => it.seat && (it.seat.untilMs = large),
    (it) => it.seat && (it.seat.startedMs = -large),
    (it) => it.services[0]?.ranges[0]?.owner && (it.services[0].ranges[0].owner.fence = large),
    (it) => it.services[0]?.lives[0] && (it.services[0].lives[0].startedMs = large),
  ];
  expect(changes.map((it) => decodeChanged(it).isErr())).toEqual(changes.map(() => true));
  expect(decodeChanged(() => undefined).isOk()).toEqual(true);
});

// Guards against two owners of one key, and against a search that misses the range of a key.
test('a row whose ranges are out of order, overlap or lie outside of the keys is an error', () => {
  const changes: ((it: Mutable) => void)[] = [
    (it) => it.services[0]?.ranges.reverse(),
    (it) => it.services[0]?.ranges[1] && (it.services[0].ranges[1].first -= 1),
    (it) => it.services[0]?.ranges[8] && (it.services[0].ranges[8].last = 65_536),
    (it) => it.services[0]?.ranges[3] && (it.services[0].ranges[3].last = 0),
  ];
  expect(changes.map((it) => decodeChanged(it).isErr())).toEqual(changes.map(() => true));
});

// Guards against calls to addresses that no connection can be opened to.
test('addresses of other routers that cannot be called are left out of a row', () => {
  const decoded = decodeChanged((it) => {
    it.peers = ['10.0.0.2:7', '10.0.0.2:70000', '10.0.0.999:7', ''];
  });
  expect(decoded._unsafeUnwrap().peers).toEqual(['10.0.0.2:7']);
});
