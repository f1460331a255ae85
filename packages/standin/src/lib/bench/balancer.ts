import { sleep } from '../clock.js';
import type { Fleet } from '../harness/fleet.js';

const CHECK_INTERVAL_MS = 100;

/** Replaces the platform's load balancer: returns the routers that were ready at its last check. */
export interface Balancer extends AsyncDisposable {
  routers(): readonly string[];
}

/** Starts checking the readiness of a fleet's routers. */
export function startBalancer(fleet: Fleet): Balancer {
  const stopping = new AbortController();
  let ready = fleet.routers.map((it) => it.callers);

  async function check(): Promise<void> {
    const checked = await Promise.all(
      fleet.routers.map(async (it) => ({ address: it.callers, isReady: await it.isReady() })),
    );
    const now = checked.filter((it) => it.isReady).map((it) => it.address);
    if (now.length > 0) ready = now;
  }

  async function checkUntilStopped(): Promise<void> {
    while (!stopping.signal.aborted) {
      await check();
      await sleep(CHECK_INTERVAL_MS, stopping.signal);
    }
  }

  const running = checkUntilStopped();
  return {
    routers: () => ready,
    async [Symbol.asyncDispose]() {
      stopping.abort();
      await running;
    },
  };
}
