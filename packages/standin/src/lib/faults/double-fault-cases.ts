import { CATALOGUE } from '../demo/demo-plan.js';
import { monotonicMs, sleep } from '../clock.js';
import type { RouterNode } from '../harness/router-node.js';
import { drainServer } from '../harness/operator-tool.js';
import { keysServedBy, type FaultCase } from './fault-case.js';
import { pickKeeper } from './keeper-cases.js';
import { unservedFigures, waitUntilMoved, waitUntilServed } from './unserved-time.js';

/**
 * Time for which the keeper is frozen: long enough that the standby takes over, short enough that
 * the keeper soon runs again.
 */
const PAUSE_MS = 700;
const MAX_UNSERVED_AFTER_BOTH_MS = 5_000;

async function pauseRouter({ program }: RouterNode): Promise<void> {
  program.freeze();
  await sleep(PAUSE_MS);
  program.thaw();
}

/** The owner is killed, and its keeper is frozen for a short time right after. */
export const ownerKilledKeeperPaused: FaultCase = {
  name: 'owner-killed-keeper-paused',
  guarantee: 'keys are served again within 5 s when the owner is killed and its keeper pauses',
  async run(context) {
    const { probe } = context;
    const { server, keeper, keys } = await pickKeeper(context);
    const killedAt = await server.kill();
    await pauseRouter(keeper);
    await waitUntilMoved(() => keysServedBy(probe, [server]));
    await waitUntilServed(probe, killedAt);
    return unservedFigures(probe, keys, killedAt, MAX_UNSERVED_AFTER_BOTH_MS);
  },
};

/** A backend server is drained, and its keeper is frozen for a short time meanwhile. */
export const drainKeeperPaused: FaultCase = {
  name: 'drain-keeper-paused',
  guarantee: 'a drain is completed although the keeper pauses, and no key is unserved',
  async run(context) {
    const { fleet, probe } = context;
    const { server, keeper, keys } = await pickKeeper(context);
    const from = monotonicMs();
    await Promise.all([drainServer(fleet, CATALOGUE.name, server.id), pauseRouter(keeper)]);
    await waitUntilMoved(() => keysServedBy(probe, [server]));
    await waitUntilServed(probe, monotonicMs());
    return unservedFigures(probe, keys, from, MAX_UNSERVED_AFTER_BOTH_MS);
  },
};
