import { mkdir, rm, writeFile } from 'node:fs/promises';
import path from 'node:path';

import { outcomeOf, type TraceEvent } from '@boragepoint/spec';

import { BROWSE, CATALOGUE, KEY_NAMES, PAY, LOCATIONS, mixedLoad } from '../demo/demo-plan.js';
import { collectTrace, formatTrace, violationsOf } from '../harness/collect-trace.js';
import { startFleet, type Fleet, type FleetPlan } from '../harness/fleet.js';
import { submitConfiguration } from '../harness/operator-tool.js';
import type { LoadResult } from '../load/load-result.js';
import { startProbe } from '../load/probe.js';
import { startLoad } from '../load/run-load.js';
import { createRandom } from '../random.js';
import type { CaseContext, CaseReport, FaultCase, Figure, SafetyVerdict } from './fault-case.js';
import { waitUntilServed } from './unserved-time.js';

const PROBE_INTERVAL_MS = 100;
const REQUESTS = 240;
const REQUESTS_PER_SECOND = 30;
const TRACE_FILE = 'trace.jsonl';

/** Options of a case run. */
export interface CaseOptions {
  readonly seed: number;
  /** Turns off the checks of epochs and leases in the backend servers. */
  readonly unchecked: boolean;
  /** Folder under which settings, logs and output are kept; without it, they are removed. */
  readonly keep: string | undefined;
  /** Number of requests of the load; default: 240. */
  readonly requests?: number | undefined;
  /** Interval between two probe requests for one key, in milliseconds; default: 100. */
  readonly probeIntervalMs?: number | undefined;
}

const DEFAULT_FLEET: FleetPlan = { locations: LOCATIONS, routers: 3, services: [] };

function planOf(it: FaultCase, { unchecked, keep }: CaseOptions): FleetPlan {
  const backendArgs = ['--service-ms', '2', ...(unchecked ? ['--no-checks'] : [])];
  const services = [{ config: CATALOGUE, backendServers: 4, backendArgs }];
  const plan = { ...DEFAULT_FLEET, services, ...it.fleet };
  return keep === undefined ? plan : { ...plan, folder: path.join(keep, it.name) };
}

async function emptyFolder(folder: string): Promise<void> {
  await rm(folder, { recursive: true, force: true });
  await mkdir(folder, { recursive: true });
}

/** Runs one case against its own fleet and checks the merged logs of all backend servers. */
export async function runCase(it: FaultCase, options: CaseOptions): Promise<CaseReport> {
  const plan = planOf(it, options);
  if (plan.folder !== undefined) await emptyFolder(plan.folder);
  const report = { case: it.name, seed: options.seed };
  try {
    await using fleet = await startFleet(plan);
    const findings = await runInFleet(it, fleet, options);
    return { ...report, ok: findings.problems.length === 0, ...findings };
  } catch (cause) {
    return { ...report, ok: false, figures: [], problems: [String(cause)] };
  }
}

async function runInFleet(it: FaultCase, fleet: Fleet, options: CaseOptions) {
  const { seed, requests = REQUESTS, probeIntervalMs = PROBE_INTERVAL_MS } = options;
  const outOfRotation = new Set<string>();
  const routers = () =>
    fleet.routers.filter((router) => !outOfRotation.has(router.id)).map((router) => router.callers);
  await submitConfiguration(fleet);
  await using probe = startProbe({
    seed,
    kind: BROWSE,
    keys: KEY_NAMES,
    intervalMs: probeIntervalMs,
    routers,
  });
  const context: CaseContext = {
    fleet,
    probe,
    random: createRandom(seed),
    takeOutOfRotation: ({ id }) => outOfRotation.add(id),
    returnToRotation: ({ id }) => outOfRotation.delete(id),
  };
  await waitUntilServed(probe, 1);
  await using loading = startLoad(
    mixedLoad({ seed, requests, ratePerSecond: REQUESTS_PER_SECOND, routers }),
  );
  const { figures, failures } = await runFault(it, context);
  if (failures.length > 0) loading.stop();
  const load = await loading.result;
  const allFigures = [...figures, ...loadFigures(load, it.mayRefuse === true)];
  const trace = await writeTrace(fleet, [...load.attempts, ...probe.attempts]);
  const verdict = checkSafety(load, trace);
  const problems = [...failures, ...allFigures.flatMap(problemOf), ...verdict.violations];
  return { figures: allFigures, problems, verdict };
}

/** Runs the fault and returns a failure, such as a timeout, so that the trace is still checked. */
async function runFault(it: FaultCase, context: CaseContext) {
  try {
    return { figures: await it.run(context), failures: [] };
  } catch (cause) {
    return { figures: [], failures: [String(cause)] };
  }
}

async function writeTrace(fleet: Fleet, attempts: LoadResult['attempts']): Promise<TraceEvent[]> {
  const trace = await collectTrace(fleet, attempts);
  const text = formatTrace([...trace, outcomeOf(trace)]);
  await writeFile(path.join(fleet.folder, TRACE_FILE), text);
  return trace;
}

function checkSafety({ kinds }: LoadResult, trace: readonly TraceEvent[]): SafetyVerdict {
  const sum = (numbers: readonly number[]) => numbers.reduce((total, it) => total + it, 0);
  return {
    violations: violationsOf(trace),
    requests: sum(kinds.map((it) => it.requests)),
    unanswered: sum(kinds.map((it) => it.lost + it.mismatched)),
  };
}

function loadFigures({ kinds }: LoadResult, mayRefuse: boolean): Figure[] {
  return kinds.flatMap((it): Figure[] => {
    const refused = { name: `${it.kind} refused`, value: it.notRun };
    return [
      { name: `${it.kind} requests`, value: it.requests },
      { name: `${it.kind} unknown`, value: it.unknown },
      mayRefuse && it.kind === PAY.name ? refused : { ...refused, atMost: 0 },
      { name: `${it.kind} not answered`, value: it.lost + it.badRequest, atMost: 0 },
      { name: `${it.kind} mismatched`, value: it.mismatched, atMost: 0 },
    ];
  });
}

function problemOf({ name, value, atMost, atLeast }: Figure): string[] {
  if (atMost !== undefined && value > atMost) return [`${name} is ${value}, above ${atMost}`];
  if (atLeast !== undefined && value < atLeast) return [`${name} is ${value}, below ${atLeast}`];
  return [];
}
