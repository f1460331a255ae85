import { monotonicMs, sleep } from '../clock.js';
import type { BackendNode } from '../harness/backend-node.js';
import type { Fleet } from '../harness/fleet.js';

const POLL_INTERVAL_MS = 10;

/** Crashes of backend servers that were seen. */
export interface Crashes {
  /** Monotonic times, in milliseconds, in order. */
  readonly times: readonly number[];
  /** Ends the restarts after those that have begun. */
  stop(): Promise<void>;
}

/** Starts backend servers again that end by themselves, as the platform does. */
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
