import { errAsync } from 'neverthrow';

import { OperatorError, type OperatorOperations } from '../lib/operators/index.js';

const notFaked = () => errAsync(new OperatorError('notFound', 'not faked'));

/** Creates operations that fail with `notFound`, except for those that a test passes. */
export function fakeOperations(overrides: Partial<OperatorOperations> = {}): OperatorOperations {
  return {
    readiness: () => ({ ready: true, reasons: [] }),
    listServices: async () => notFaked(),
    getService: async () => notFaked(),
    putService: async () => notFaked(),
    status: async () => notFaked(),
    owner: async () => notFaked(),
    drain: async () => notFaked(),
    move: async () => notFaked(),
    pin: async () => notFaked(),
    depose: async () => notFaked(),
    explain: async () => notFaked(),
    events: async () => notFaked(),
    listQuarantine: async () => notFaked(),
    releaseQuarantine: async () => notFaked(),
    burnReport: async () => notFaked(),
    ...overrides,
  };
}
