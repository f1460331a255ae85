import { monotonicMs, sleep } from '../clock.js';
import { waitUntil } from '../harness/wait-until.js';
import { KEY_NAMES } from '../demo/demo-plan.js';
import { pick, type FaultCase } from './fault-case.js';
import { unservedTimes, waitUntilServed } from './unserved-time.js';

const NOT_READY_MS = 5_000;
const NOT_READY_TIMEOUT_MS = 20_000;
/** Time for which the router stays alone after it is not ready. */
const STAY_ALONE_MS = 3_000;
const WATCHED_MS = 2_000;

/** A router loses its peers and the platform, but reaches callers and backend servers. */
export const routerPartitioned: FaultCase = {
  name: 'router-partitioned',
  promise: 'a router without peers and store is not ready within 5 s, and no key has two owners',
  fleet: { linked: true },
  async run({ fleet, probe, random, avoid, ask }) {
    const router = pick(fleet.routers, random);
    const cutAt = monotonicMs();
    fleet.links.isolate(router.id, 'drop');
    const notReady = async () => ((await router.isReady()) ? undefined : true);
    await waitUntil(`${router.id} not ready`, notReady, NOT_READY_TIMEOUT_MS);
    const notReadyMs = Math.round(monotonicMs() - cutAt);
    avoid(router);
    await sleep(STAY_ALONE_MS);
    fleet.links.isolate(router.id, 'open');
    await router.waitUntilReady();
    ask(router);
    await sleep(WATCHED_MS);
    await waitUntilServed(probe, monotonicMs());
    return [
      { name: 'not ready after ms', value: notReadyMs, atMost: NOT_READY_MS },
      ...unservedTimes(probe, KEY_NAMES, cutAt),
    ];
  },
};
