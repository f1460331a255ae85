import { errAsync } from 'neverthrow';

import { OperatorError, type OperatorOperations } from '../lib/operators/index.js';

const unused = () => errAsync(new OperatorError('notFound', 'not faked'));

/** Operations that find nothing, apart from those that a test brings. */
export function fakeOperations(some: Partial<OperatorOperations> = {}): OperatorOperations {
  return {
    readiness: () => ({ ready: true, reasons: [] }),
    listServices: async () => unused(),
    getService: async () => unused(),
    putService: async () => unused(),
    status: async () => unused(),
    owner: async () => unused(),
    drain: async () => unused(),
    move: async () => unused(),
    pin: async () => unused(),
    depose: async () => unused(),
    explain: async () => unused(),
    events: async () => unused(),
    listQuarantine: async () => unused(),
    releaseQuarantine: async () => unused(),
    burnReport: async () => unused(),
    ...some,
  };
}
