import { monotonicMs, sleep } from '../clock.js';
import { waitUntil } from '../harness/wait-until.js';
import { KEY_NAMES } from '../demo/demo-plan.js';
import { pick, type FaultCase } from './fault-case.js';
import { unservedFigures, waitUntilServed } from './unserved-time.js';

const MAX_TIME_TO_NOT_READY_MS = 5_000;
const NOT_READY_TIMEOUT_MS = 20_000;
/** Time for which the router stays isolated after it has become not ready. */
const STAY_ISOLATED_MS = 3_000;
const OBSERVATION_MS = 2_000;

/** A router is cut off from peers and platform but still reaches callers and backend servers. */
export const routerPartitioned: FaultCase = {
  name: 'router-partitioned',
  guarantee: 'a router without peers and store is not ready within 5 s, and no key has two owners',
  fleet: { linked: true },
  async run({ fleet, probe, random, takeOutOfRotation, returnToRotation }) {
    const router = pick(fleet.routers, random);
    const cutAt = monotonicMs();
    fleet.links.setProcessLinks(router.id, 'drop');
    const notReady = async () => ((await router.isReady()) ? undefined : true);
    await waitUntil(`${router.id} not ready`, notReady, NOT_READY_TIMEOUT_MS);
    const notReadyMs = Math.round(monotonicMs() - cutAt);
    takeOutOfRotation(router);
    await sleep(STAY_ISOLATED_MS);
    fleet.links.setProcessLinks(router.id, 'open');
    await router.waitUntilReady();
    returnToRotation(router);
    await sleep(OBSERVATION_MS);
    await waitUntilServed(probe, monotonicMs());
    return [
      { name: 'not ready after ms', value: notReadyMs, atMost: MAX_TIME_TO_NOT_READY_MS },
      ...unservedFigures(probe, KEY_NAMES, cutAt),
    ];
  },
};
