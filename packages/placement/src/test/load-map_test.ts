import { test } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { createLoadMap } from '../lib/load-map.js';

test('the load within a span is the load of its keys, including both ends', () => {
  const key = fc.integer({ min: 0, max: 40 });
  fc.assert(
    fc.property(fc.array(key), key, key, (keys, a, b) => {
      const [first, last] = [Math.min(a, b), Math.max(a, b)];
      const load = createLoadMap(0);
      load.record(keys);
      const within = load.within({ first, last });
      const expected = keys.filter((it) => it >= first && it <= last);
      expect(within.reduce((sum, it) => sum + it.weight, 0)).toEqual(expected.length);
      expect(within.map((it) => it.key)).toEqual([...new Set(expected)].sort((x, y) => x - y));
    }),
    { seed: 7 },
  );
});

test('load halves in four seconds', () => {
  const load = createLoadMap(0);
  load.record(Array.from({ length: 100 }, () => 5));
  load.decay(4_000);
  expect(Math.round(load.total())).toEqual(50);
});
