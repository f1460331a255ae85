import { once } from 'node:events';
import type { Server } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Time between two tries to listen at an address that is in use, in milliseconds. */
const RETRY_MS = 200;
/** Time after which an address that is still in use is an error, in milliseconds. */
const MAX_WAIT_MS = 5_000;

const isAddressInUse = (cause: unknown) =>
  cause instanceof Error && 'code' in cause && cause.code === 'EADDRINUSE';

/**
 * Listens at an address. If it is in use, by the process before this one or by an outgoing
 * connection, tries again for some seconds: a process that ends at once is started again and ends
 * again. Rejects with the system's error after that, or if the address can't be used at all.
 */
export async function listenWhenFree(
  server: Server,
  address: { readonly host: string; readonly port: number; readonly backlog?: number },
  maxWaitMs = MAX_WAIT_MS,
): Promise<void> {
  const giveUpAt = performance.now() + maxWaitMs;
  for (;;) {
    try {
      const listening = once(server, 'listening');
      server.listen(address);
      await listening;
      return;
    } catch (cause) {
      if (!isAddressInUse(cause) || performance.now() >= giveUpAt) throw cause;
    }
    await sleep(RETRY_MS);
  }
}
