import { test } from 'node:test';

import { expect } from 'earl';

import { overlayRanges } from '../lib/placement-view.js';

const range = (first: number, last: number, owner: string) => ({
  first,
  last,
  owner,
  granted: true,
});

test('a changed range splits the range that contains it', () => {
  const ranges = overlayRanges([range(0, 99, 'a')], [range(40, 59, 'b')]);
  expect(ranges).toEqual([range(0, 39, 'a'), range(40, 59, 'b'), range(60, 99, 'a')]);
});

test('a changed range replaces the ranges that it covers', () => {
  const known = [range(0, 9, 'a'), range(10, 19, 'b'), range(20, 29, 'c')];
  expect(overlayRanges(known, [range(5, 24, 'd')])).toEqual([
    range(0, 4, 'a'),
    range(5, 24, 'd'),
    range(25, 29, 'c'),
  ]);
});

test('several changes within one range keep the parts between them', () => {
  const ranges = overlayRanges([range(0, 99, 'a')], [range(0, 9, 'b'), range(50, 59, 'c')]);
  expect(ranges).toEqual([
    range(0, 9, 'b'),
    range(10, 49, 'a'),
    range(50, 59, 'c'),
    range(60, 99, 'a'),
  ]);
});

test('without changes the ranges stay the same', () => {
  expect(overlayRanges([range(0, 99, 'a')], [])).toEqual([range(0, 99, 'a')]);
});
