import { CATALOGUE } from '../demo/demo-plan.js';
import { monotonicMs, sleep } from '../clock.js';
import type { RouterNode } from '../harness/router-node.js';
import { drainServer } from '../harness/operator.js';
import { keysOf, type FaultCase } from './fault-case.js';
import { pickKeeper } from './keeper-cases.js';
import { unservedTimes, waitUntilMoved, waitUntilServed } from './unserved-time.js';

/** Long enough that the standby steps in, short enough that the keeper is back soon. */
const PAUSE_MS = 700;
const SERVED_AFTER_BOTH_MS = 5_000;

async function pause({ program }: RouterNode): Promise<void> {
  program.freeze();
  await sleep(PAUSE_MS);
  program.thaw();
}

/** The owner is killed, and its keeper pauses at the same time. */
export const ownerKilledKeeperPaused: FaultCase = {
  name: 'owner-killed-keeper-paused',
  promise: 'keys are served again within 5 s when the owner is killed and its keeper pauses',
  async run(context) {
    const { probe } = context;
    const { server, keeper, keys } = await pickKeeper(context);
    const killedAt = await server.kill();
    await pause(keeper);
    await waitUntilMoved(() => keysOf(probe, [server]));
    await waitUntilServed(probe, killedAt);
    return unservedTimes(probe, keys, killedAt, SERVED_AFTER_BOTH_MS);
  },
};

/** A backend server is drained, and its keeper pauses at the same time. */
export const drainKeeperPaused: FaultCase = {
  name: 'drain-keeper-paused',
  promise: 'a drain is completed although the keeper pauses, and no key is unserved',
  async run(context) {
    const { fleet, probe } = context;
    const { server, keeper, keys } = await pickKeeper(context);
    const from = monotonicMs();
    await Promise.all([drainServer(fleet, CATALOGUE.name, server.id), pause(keeper)]);
    await waitUntilMoved(() => keysOf(probe, [server]));
    await waitUntilServed(probe, monotonicMs());
    return unservedTimes(probe, keys, from, SERVED_AFTER_BOTH_MS);
  },
};
