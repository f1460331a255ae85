import type { LeaderContext } from '../lib/leader-context.js';
import type { ServerDirectory } from '../lib/server-directory.js';
import { createServerHealth } from '../lib/server-health.js';
import type { FakeHolders } from './fake-holders.js';

/** What tests set of a leader's context; all else has a default. */
export type FakeContextOptions = Partial<LeaderContext> &
  Pick<LeaderContext, 'clocks' | 'nextFence' | 'times'> & {
    readonly directory: ServerDirectory;
  };

/** Creates the context of a leader that may send all orders to the servers `holders`. */
export function createFakeContext(
  holders: FakeHolders,
  options: FakeContextOptions,
): LeaderContext {
  return {
    orders: holders,
    reach: holders.reach,
    health: createServerHealth(),
    log: { info: () => undefined, warn: () => undefined },
    signal: new AbortController().signal,
    mayOrder: () => true,
    mayRenew: () => true,
    inheritedUntil: () => -Infinity,
    noteChange: () => undefined,
    persist: () => Promise.resolve(true),
    limitOf: () => undefined,
    mayOwnKeys: () => true,
    ...options,
  };
}
