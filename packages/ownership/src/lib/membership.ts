import type { InstanceRecord } from '@boragepoint/platform';

import { monotonicMs } from './pause.js';

/** Time without a heartbeat after which a router counts as not live. */
export const HEARTBEAT_TIMEOUT_MS = 350;

/** A router as its peers know it. */
export interface RouterInstance {
  readonly id: string;
  /** Differs at each start of the router. */
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly leaving: boolean;
}

/**
 * Tells which routers are live, from their heartbeats. The platform's instance list names the peers
 * to send heartbeats to, and the backend servers that are leaving.
 */
export interface Membership extends Disposable {
  /** This router itself. */
  readonly self: RouterInstance;
  /** Notes a heartbeat of a router. */
  heardFrom(router: RouterInstance): void;
  /** Notes that a router is unreachable, so that it counts as not live without further waiting. */
  connectionLost(id: string): void;
  /** Replaces the platform's instance list, which lags behind the actual state. */
  updateInstances(instances: readonly InstanceRecord[]): void;
  /** Peers to send heartbeats to: id to address of the peer listener. */
  peerAddresses(): Map<string, string>;
  /** Routers heard from within the time, live or not. */
  heardWithin(ms: number): string[];
  /** Live routers that are not leaving, with this one unless it is leaving. */
  live(): RouterInstance[];
  isLive(id: string, incarnation?: string): boolean;
  /** Time for which the router has been live without a gap, in milliseconds. */
  liveForMs(id: string): number;
  /** Time since the router was last heard from, in milliseconds; `Infinity` when never. */
  silentForMs(id: string, incarnation: string): number;
  /** True when a peer was heard from within the time. */
  heardAnyWithin(ms: number): boolean;
  /** Marks this router as leaving. */
  leave(): void;
  /** Backend servers that the platform lists as leaving. */
  leavingServers(): ReadonlySet<string>;
}

/** Interval between checks whether this process was stalled. */
const STALL_CHECK_INTERVAL_MS = 50;

interface HeartbeatRecord {
  readonly router: RouterInstance;
  /** Since when this incarnation has been live without a gap, on the monotonic clock. */
  readonly liveSince: number;
  /**
   * Time of the last heartbeat, on the monotonic clock, moved forward by the length of stalls of
   * this process since.
   */
  lastHeardAt: number;
}

/**
 * Reports periods in which this process did not run. Heartbeats missed in such a period do not
 * count against peers.
 */
function watchStalls(onStall: (ms: number) => void): Disposable {
  let dueAt = monotonicMs() + STALL_CHECK_INTERVAL_MS;
  const timer = setInterval(() => {
    const lateMs = monotonicMs() - dueAt;
    if (lateMs > STALL_CHECK_INTERVAL_MS) onStall(lateMs);
    dueAt = monotonicMs() + STALL_CHECK_INTERVAL_MS;
  }, STALL_CHECK_INTERVAL_MS);
  return {
    [Symbol.dispose]() {
      clearInterval(timer);
    },
  };
}

/** Creates the membership view of one router. */
export function createMembership(identity: Omit<RouterInstance, 'leaving'>): Membership {
  const heartbeats = new Map<string, HeartbeatRecord>();
  const stallWatch = watchStalls((ms) => {
    const now = monotonicMs();
    for (const it of heartbeats.values()) it.lastHeardAt = Math.min(now, it.lastHeardAt + ms);
  });
  let instances: readonly InstanceRecord[] = [];
  let leaving = false;

  const self = () => ({ ...identity, leaving });

  function silentMs(id: string): number {
    const at = heartbeats.get(id)?.lastHeardAt;
    return at === undefined ? Infinity : monotonicMs() - at;
  }

  function isLive(id: string, incarnation?: string): boolean {
    if (id === identity.id)
      return incarnation === undefined || incarnation === identity.incarnation;
    const known = heartbeats.get(id);
    if (known === undefined) return false;
    if (incarnation !== undefined && known.router.incarnation !== incarnation) return false;
    return silentMs(id) < HEARTBEAT_TIMEOUT_MS;
  }

  function listedRouters(): InstanceRecord[] {
    return instances.filter((it) => it.role === 'router' && it.id !== identity.id);
  }

  return {
    get self() {
      return self();
    },
    heardFrom(router) {
      const now = monotonicMs();
      const known = heartbeats.get(router.id);
      const isUninterrupted = known?.router.incarnation === router.incarnation && isLive(router.id);
      heartbeats.set(router.id, {
        router,
        lastHeardAt: now,
        liveSince: isUninterrupted ? known.liveSince : now,
      });
    },
    connectionLost(id) {
      const known = heartbeats.get(id);
      if (known !== undefined)
        known.lastHeardAt = Math.min(known.lastHeardAt, monotonicMs() - HEARTBEAT_TIMEOUT_MS);
    },
    updateInstances(list) {
      instances = list;
    },
    peerAddresses: () => new Map(listedRouters().map((it) => [it.id, it.address])),
    liveForMs(id) {
      const known = heartbeats.get(id);
      return known !== undefined && isLive(id) ? monotonicMs() - known.liveSince : 0;
    },
    heardWithin: (ms) => [...heartbeats.keys()].filter((id) => silentMs(id) < ms),
    live() {
      const peers = [...heartbeats.values()].map((it) => it.router);
      return [self(), ...peers].filter((it) => !it.leaving && isLive(it.id));
    },
    isLive,
    [Symbol.dispose]() {
      stallWatch[Symbol.dispose]();
    },
    silentForMs(id, incarnation) {
      const known = heartbeats.get(id);
      return known?.router.incarnation === incarnation ? silentMs(id) : Infinity;
    },
    heardAnyWithin: (ms) => [...heartbeats.keys()].some((id) => silentMs(id) < ms),
    leave() {
      leaving = true;
    },
    leavingServers() {
      const leavingInstances = instances.filter(
        (it) => it.role === 'backend-server' && it.state === 'leaving',
      );
      return new Set(leavingInstances.map((it) => it.id));
    },
  };
}
