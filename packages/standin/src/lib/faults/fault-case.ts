import type { BackendNode } from '../harness/backend-node.js';
import type { Fleet, FleetPlan } from '../harness/fleet.js';
import type { RouterNode } from '../harness/router-node.js';
import type { Probe } from '../load/probe.js';
import type { Random } from '../random.js';

/** What a case works with while requests run. */
export interface CaseContext {
  readonly fleet: Fleet;
  readonly probe: Probe;
  /** Makes all choices of the case. */
  readonly random: Random;
  /** Callers stop asking this router, as the balancer in front of the routers would. */
  readonly takeOutOfRotation: (router: RouterNode) => void;
  /** Callers ask this router again. */
  readonly returnToRotation: (router: RouterNode) => void;
}

/** A figure that a case measured and the bound that it must keep. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  /** Highest value that passes, where there is one. */
  readonly atMost?: number;
  /** Lowest value that passes, where there is one. */
  readonly atLeast?: number;
}

/** A fault that is brought about while requests run. */
export interface FaultCase {
  readonly name: string;
  /** What must hold, in one line. */
  readonly guarantee: string;
  /** True when non-idempotent requests may be refused as not run for as long as the fault lasts. */
  readonly mayRefuse?: boolean;
  /** Changes to the usual fleet. */
  readonly fleet?: Partial<FleetPlan>;
  /** Brings the fault about, waits for its end and returns the figures. */
  run(context: CaseContext): Promise<Figure[]>;
}

/** What came of a case. */
export interface CaseReport {
  readonly case: string;
  readonly seed: number;
  readonly ok: boolean;
  readonly figures: readonly Figure[];
  /** Why it failed; empty when it passed. */
  readonly problems: readonly string[];
  /** What does not depend on the machine's speed; missing when the run could not be judged. */
  readonly verdict?: SafetyVerdict;
}

/** What must hold however slow the machine is. */
export interface SafetyVerdict {
  /** Rules that the trace breaks: two owners, a repeated run, a refusal that was run. */
  readonly violations: readonly string[];
  /** Requests of the load. */
  readonly requests: number;
  /** Requests without an answer of their own. */
  readonly unanswered: number;
}

/** Returns one of the items. */
export function pick<T>(items: readonly T[], random: Random): T {
  const item = items[random.below(items.length)];
  if (item === undefined) throw new Error('there is nothing to pick from');
  return item;
}

/** Returns the keys that a backend server answered last. */
export function keysServedBy(probe: Probe, servers: readonly BackendNode[]): string[] {
  const ids = new Set(servers.map((it) => it.id));
  return [...probe.servers()].filter(([, id]) => ids.has(id)).map(([key]) => key);
}
