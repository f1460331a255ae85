import { test } from 'node:test';

import { expect } from 'earl';

import { fitLine } from '../lib/bench/least-squares.js';

test('a fit returns the exact slopes when all points fit a linear model', () => {
  const inputs = [
    [1, 2],
    [2, 1],
    [3, 5],
    [4, 4],
  ];
  const points = inputs.map(([a = 0, b = 0]) => ({ inputs: [a, b], output: 7 + 2 * a - 3 * b }));
  const fit = fitLine(points);
  expect(fit.constant).toBeCloseTo(7, 1e-6);
  expect(fit.slopes.map((it) => Math.round(it * 1e6) / 1e6)).toEqual([2, -3]);
  expect(fit.residual).toBeCloseTo(0, 1e-6);
});

test('an input that never varies gets slope 0', () => {
  const points = [1, 2, 3].map((a) => ({ inputs: [a, 4], output: 5 * a }));
  const fit = fitLine(points);
  expect(fit.slopes.map((it) => Math.round(it * 1e6) / 1e6)).toEqual([5, 0]);
});

test('the residual is the root mean square distance of the points from the line', () => {
  const points = [1, -1, -1, 1].map((off, at) => ({ inputs: [at], output: at + off }));
  const fit = fitLine(points);
  expect(fit.residual).toBeCloseTo(1, 1e-6);
});
