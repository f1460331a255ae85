import type { BackendNode } from '../harness/backend-node.js';
import type { Fleet, FleetPlan } from '../harness/fleet.js';
import type { RouterNode } from '../harness/router-node.js';
import type { Probe } from '../load/probe.js';
import type { Random } from '../random.js';

/** Fleet and tools of a fault case while requests run. */
export interface CaseContext {
  readonly fleet: Fleet;
  readonly probe: Probe;
  /** Source of all random choices of the case. */
  readonly random: Random;
  /** Stops sending requests to a router, as the load balancer in front of the routers would. */
  readonly takeOutOfRotation: (router: RouterNode) => void;
  /** Resumes sending requests to a router. */
  readonly returnToRotation: (router: RouterNode) => void;
}

/** A measured figure with its bounds, if any. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  /** Highest value that passes. */
  readonly atMost?: number;
  /** Lowest value that passes. */
  readonly atLeast?: number;
}

/** A fault that is injected while requests run. */
export interface FaultCase {
  readonly name: string;
  /** What must hold, in one line. */
  readonly guarantee: string;
  /** True when non-idempotent requests may be refused as not run during the fault. */
  readonly mayRefuse?: boolean;
  /** Overrides of the default fleet. */
  readonly fleet?: Partial<FleetPlan>;
  /** Injects the fault, waits until it is over and returns the figures. */
  run(context: CaseContext): Promise<Figure[]>;
}

/** Result of a fault case. */
export interface CaseReport {
  readonly case: string;
  readonly seed: number;
  readonly ok: boolean;
  readonly figures: readonly Figure[];
  /** Reasons for the failure; empty when the case passed. */
  readonly problems: readonly string[];
  /** Verdict that does not depend on the machine's speed; missing when the run was not checked. */
  readonly verdict?: SafetyVerdict;
}

/** Results that must hold on a machine of any speed. */
export interface SafetyVerdict {
  /** Violations in the trace, such as two owners, a repeated run or a refused request that ran. */
  readonly violations: readonly string[];
  /** Number of requests of the load. */
  readonly requests: number;
  /** Number of requests without an answer, and of answers to another request. */
  readonly unanswered: number;
}

/** Returns a random item. */
export function pick<T>(items: readonly T[], random: Random): T {
  const item = items[random.below(items.length)];
  if (item === undefined) throw new Error('cannot pick from an empty list');
  return item;
}

/** Returns the keys whose last answer came from one of the servers. */
export function keysServedBy(probe: Probe, servers: readonly BackendNode[]): string[] {
  const ids = new Set(servers.map((it) => it.id));
  return [...probe.servers()].filter(([, id]) => ids.has(id)).map(([key]) => key);
}
