import { test } from 'node:test';

import { expect } from 'earl';

import { MODEL_CONFIGURATIONS } from '../lib/model-configurations.js';
import { MUTATION_NAMES } from '../lib/model/mutations.js';

// A rule whose removal leads to no violation is either superfluous or not exercised by the models.
for (const mutation of MUTATION_NAMES) {
  test(`removing a rule leads to a violation: ${mutation}`, () => {
    const configurations = MODEL_CONFIGURATIONS.filter((it) => it.mutations.includes(mutation));
    const lengths = configurations.map((it) => it.run(mutation).counterexample?.trace.length ?? 0);
    expect(lengths.length).toBeGreaterThan(0);
    expect(lengths.every((it) => it > 0)).toEqual(true);
  });
}
