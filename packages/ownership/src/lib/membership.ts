import type { InstanceRecord } from '@boragepoint/platform';

import { monotonicMs } from './pause.js';

/** A router that is silent for longer than this counts as not live. */
export const HEARTBEAT_TIMEOUT_MS = 350;

/** A router as its peers know it. */
export interface RouterInstance {
  readonly id: string;
  /** New at each start of the router. */
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly leaving: boolean;
}

/** Which routers are live: the instance list joined with the heartbeats. */
export interface Membership extends Disposable {
  /** This router itself. */
  readonly self: RouterInstance;
  /** Notes that a router was heard from. */
  heardFrom(router: RouterInstance): void;
  /** Notes that a router can't be reached, so that its silence needs no further waiting. */
  connectionLost(id: string): void;
  /** Takes in the platform's list, which lags. */
  listed(instances: readonly InstanceRecord[]): void;
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
  silenceOf(id: string, incarnation: string): number;
  /** True when a peer was heard from within the time. */
  heardAnyWithin(ms: number): boolean;
  /** Marks this router as leaving. */
  leave(): void;
  /** Backend servers that the platform lists as leaving. */
  leavingServers(): ReadonlySet<string>;
}

/** Time between two checks whether this process was stalled. */
const STALL_CHECK_MS = 50;

interface Heard {
  readonly router: RouterInstance;
  /** When this start of the router was first heard from without a gap since. */
  readonly since: number;
  at: number;
}

/**
 * Tells of times in which this process did not run: silence that it did not hear itself does not
 * count against its peers.
 */
function watchStalls(onStall: (ms: number) => void): Disposable {
  let dueAt = monotonicMs() + STALL_CHECK_MS;
  const timer = setInterval(() => {
    const lateMs = monotonicMs() - dueAt;
    if (lateMs > STALL_CHECK_MS) onStall(lateMs);
    dueAt = monotonicMs() + STALL_CHECK_MS;
  }, STALL_CHECK_MS);
  return {
    [Symbol.dispose]() {
      clearInterval(timer);
    },
  };
}

/** Creates the membership view of one router. */
export function createMembership(me: Omit<RouterInstance, 'leaving'>): Membership {
  const heard = new Map<string, Heard>();
  const stalls = watchStalls((ms) => {
    const now = monotonicMs();
    for (const it of heard.values()) it.at = Math.min(now, it.at + ms);
  });
  let instances: readonly InstanceRecord[] = [];
  let leaving = false;

  const self = () => ({ ...me, leaving });

  function silence(id: string): number {
    const at = heard.get(id)?.at;
    return at === undefined ? Infinity : monotonicMs() - at;
  }

  function isLive(id: string, incarnation?: string): boolean {
    if (id === me.id) return incarnation === undefined || incarnation === me.incarnation;
    const known = heard.get(id);
    if (known === undefined) return false;
    if (incarnation !== undefined && known.router.incarnation !== incarnation) return false;
    return silence(id) < HEARTBEAT_TIMEOUT_MS;
  }

  function routersListed(): InstanceRecord[] {
    return instances.filter((it) => it.role === 'router' && it.id !== me.id);
  }

  return {
    get self() {
      return self();
    },
    heardFrom(router) {
      const at = monotonicMs();
      const known = heard.get(router.id);
      const isSame = known?.router.incarnation === router.incarnation && isLive(router.id);
      heard.set(router.id, { router, at, since: isSame ? known.since : at });
    },
    connectionLost(id) {
      const known = heard.get(id);
      if (known !== undefined) known.at = Math.min(known.at, monotonicMs() - HEARTBEAT_TIMEOUT_MS);
    },
    listed(list) {
      instances = list;
    },
    peerAddresses: () => new Map(routersListed().map((it) => [it.id, it.address])),
    liveForMs(id) {
      const known = heard.get(id);
      return known !== undefined && isLive(id) ? monotonicMs() - known.since : 0;
    },
    heardWithin: (ms) => [...heard.keys()].filter((id) => silence(id) < ms),
    live() {
      const peers = [...heard.values()].map((it) => it.router);
      return [self(), ...peers].filter((it) => !it.leaving && isLive(it.id));
    },
    isLive,
    [Symbol.dispose]() {
      stalls[Symbol.dispose]();
    },
    silenceOf(id, incarnation) {
      const known = heard.get(id);
      return known?.router.incarnation === incarnation ? silence(id) : Infinity;
    },
    heardAnyWithin: (ms) => [...heard.keys()].some((id) => silence(id) < ms),
    leave() {
      leaving = true;
    },
    leavingServers() {
      const gone = instances.filter((it) => it.role === 'backend-server' && it.state === 'leaving');
      return new Set(gone.map((it) => it.id));
    },
  };
}
