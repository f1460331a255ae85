import { monotonicMs, sleep } from '../clock.js';
import type { BackendNode } from '../harness/backend-node.js';
import type { Fleet } from '../harness/fleet.js';

const POLL_INTERVAL_MS = 10;

/** Observed crashes of backend servers. */
export interface Crashes {
  /** Monotonic times at which crashes were seen, in milliseconds and in order. */
  readonly times: readonly number[];
  /** Stops watching and waits for restarts in progress. */
  stop(): Promise<void>;
}

/** Restarts backend servers that have exited, as the platform does. */
export function restartCrashed({ backendServers }: Fleet): Crashes {
  const times: number[] = [];
  const stopping = new AbortController();

  async function watch(server: BackendNode): Promise<void> {
    while (!stopping.signal.aborted) {
      if (server.program.exit !== undefined) {
        times.push(monotonicMs());
        await server.restart();
      }
      await sleep(POLL_INTERVAL_MS, stopping.signal);
    }
  }

  const watching = Promise.all(backendServers.map(watch));
  return {
    times,
    async stop() {
      stopping.abort();
      await watching;
    },
  };
}
