import { connect } from 'node:net';

import { parseIpEndpoint } from '@boragepoint/config';

/** Time after which a connection that did not come about tells nothing, in milliseconds. */
const PROBE_TIMEOUT_MS = 1_000;
/**
 * A process that ends closes its connections and its listener one after the other; a connection that came about in
 * between is reset within this time, in milliseconds.
 */
const DROP_WAIT_MS = 50;

/** What a new connection to a server's address shows; `unclear` if it neither came about nor was refused. */
export type ProbeResult = 'listens' | 'refused' | 'unclear';

/** Looks whether a process listens at an address. */
export interface ServerProbe {
  /** The result holds for a moment after the call. */
  check(address: string): Promise<ProbeResult>;
}

/** Connects once; `dropped` if the connection came about and ended at once. */
function connectOnce(address: string): Promise<ProbeResult | 'dropped'> {
  const endpoint = parseIpEndpoint(address);
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

/** Connects, and once more if the connection was dropped: a process that is over refuses then, a full one does not. */
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
      // One that began before the call may have met the process that ended since.
      const next = queued.get(address) ?? current.then(() => start(address));
      queued.set(address, next);
      return next;
    },
  };
}
