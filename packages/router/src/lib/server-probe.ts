import { connect } from 'node:net';

import { parseCallableEndpoint } from '@boragepoint/config';

/** Timeout of a probe connection; after it the result is `unclear`, in milliseconds. */
const PROBE_TIMEOUT_MS = 1_000;
/**
 * Time to wait for a reset after a connection was established, in milliseconds. A process that ends
 * closes its connections before its listener, and resets a connection that was accepted in between.
 */
const DROP_WAIT_MS = 50;

/** Result of a connection attempt; `unclear` if it was neither established nor refused. */
export type ProbeResult = 'listens' | 'refused' | 'unclear';

/** Checks whether a process listens at an address. */
export interface ServerProbe {
  /** The result reflects a moment after the call. */
  check(address: string): Promise<ProbeResult>;
}

/** Connects once; `dropped` if the connection was established and ended at once. */
function connectOnce(address: string): Promise<ProbeResult | 'dropped'> {
  const endpoint = parseCallableEndpoint(address);
  if (!endpoint) return Promise.resolve('unclear');
  return new Promise((resolve) => {
    const socket = connect({ ...endpoint, timeout: PROBE_TIMEOUT_MS });
    let dropTimer: NodeJS.Timeout | undefined;
    const finish = (result: ProbeResult | 'dropped') => {
      clearTimeout(dropTimer);
      socket.destroy();
      resolve(result);
    };
    socket.on('connect', () => {
      dropTimer = setTimeout(finish, DROP_WAIT_MS, 'listens');
    });
    socket.on('close', () => {
      finish('dropped');
    });
    socket.on('timeout', () => {
      finish('unclear');
    });
    socket.on('error', (err: NodeJS.ErrnoException) => {
      if (dropTimer || err.code === 'ECONNRESET') finish('dropped');
      else finish(err.code === 'ECONNREFUSED' ? 'refused' : 'unclear');
    });
  });
}

/**
 * Connects, and once more if the connection was dropped: by then an ended process refuses
 * connections, and a full one still accepts them.
 */
async function connectWithRetry(address: string): Promise<ProbeResult> {
  const first = await connectOnce(address);
  if (first !== 'dropped') return first;
  const second = await connectOnce(address);
  return second === 'dropped' ? 'listens' : second;
}

/** Creates a probe that opens one connection at a time to each address. */
export function createServerProbe(
  open: (address: string) => Promise<ProbeResult> = connectWithRetry,
): ServerProbe {
  const running = new Map<string, Promise<ProbeResult>>();
  const queued = new Map<string, Promise<ProbeResult>>();

  function start(address: string): Promise<ProbeResult> {
    queued.delete(address);
    const result = open(address).finally(() => {
      if (running.get(address) === result) running.delete(address);
    });
    running.set(address, result);
    return result;
  }

  return {
    check(address) {
      const current = running.get(address);
      if (!current) return start(address);
      // A check that began before the call may have reached a process that has ended since.
      const next = queued.get(address) ?? current.then(() => start(address));
      queued.set(address, next);
      return next;
    },
  };
}
