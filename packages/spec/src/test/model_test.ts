import { test } from 'node:test';

import { expect } from 'earl';

import { MODEL_CONFIGURATIONS } from '../lib/model-configurations.js';
import { type Model, explore } from '../lib/model/explore.js';

// `npm run verify:model` explores the slower configurations too.
for (const configuration of MODEL_CONFIGURATIONS.filter((it) => it.isQuick)) {
  test(`no invariant is violated and every goal is reached: ${configuration.name}`, () => {
    const result = configuration.run();
    expect(result.counterexample).toEqual(undefined);
    expect(Object.entries(result.goals).filter(([, count]) => count === 0)).toEqual([]);
  });
}

interface Counter {
  readonly count: number;
}

/** Counts from 0 to 10 in steps of 1 or 2; the state 7 is a violation. */
const COUNTER: Model<Counter> = {
  initial: { count: 0 },
  steps: ({ count }) =>
    [1, 2]
      .filter((it) => count + it <= 10)
      .map((it) => ({ name: `add ${it}`, next: { count: count + it } })),
  violation: ({ count }) => (count === 7 ? 'seven' : undefined),
  goals: { 'is odd': ({ count }) => count % 2 === 1 },
};

test('an exploration visits every state and counts the states that satisfy each goal', () => {
  const result = explore({ ...COUNTER, violation: () => undefined });
  expect(result).toEqual({
    states: 11,
    depth: 5,
    goals: { 'is odd': 5 },
    counterexample: undefined,
  });
});

test('the trace of a counterexample is a shortest one', () => {
  expect(explore(COUNTER).counterexample?.trace.length).toEqual(4);
});
