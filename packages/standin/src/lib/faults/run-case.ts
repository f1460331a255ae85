import { mkdir, rm, writeFile } from 'node:fs/promises';
import path from 'node:path';

import { BROWSE, CATALOGUE, KEY_NAMES, PAY, PLACES, mixedLoad } from '../demo/demo-plan.js';
import { collectTrace, formatTrace, violationsOf } from '../harness/collect-trace.js';
import { startFleet, type Fleet, type FleetPlan } from '../harness/fleet.js';
import { submitConfiguration } from '../harness/operator.js';
import type { LoadResult } from '../load/load-result.js';
import { startProbe } from '../load/probe.js';
import { runLoad } from '../load/run-load.js';
import { createRandom } from '../random.js';
import type { CaseContext, CaseReport, FaultCase, Figure } from './fault-case.js';
import { waitUntilServed } from './unserved-time.js';

const PROBE_EVERY_MS = 100;
const LOAD_REQUESTS = 240;
const LOAD_PER_SECOND = 30;
const TRACE_FILE = 'trace.jsonl';

/** How a case is run. */
export interface CaseOptions {
  readonly seed: number;
  /** Backend servers run requests whatever their epoch and lease. */
  readonly unchecked: boolean;
  /** Keeps settings, logs and output under this folder. */
  readonly keep: string | undefined;
}

const USUAL_FLEET: FleetPlan = { places: PLACES, routers: 3, services: [] };

function planOf(it: FaultCase, { unchecked, keep }: CaseOptions): FleetPlan {
  const backendArgs = ['--service-ms', '2', ...(unchecked ? ['--no-checks'] : [])];
  const services = [{ config: CATALOGUE, backendServers: 4, backendArgs }];
  const plan = { ...USUAL_FLEET, services, ...it.fleet };
  return keep === undefined ? plan : { ...plan, folder: path.join(keep, it.name) };
}

async function emptyFolder(folder: string): Promise<void> {
  await rm(folder, { recursive: true, force: true });
  await mkdir(folder, { recursive: true });
}

/** Runs one case against a fleet of its own and checks all backend servers' logs together. */
export async function runCase(it: FaultCase, options: CaseOptions): Promise<CaseReport> {
  const plan = planOf(it, options);
  if (plan.folder !== undefined) await emptyFolder(plan.folder);
  const report = { case: it.name, seed: options.seed };
  try {
    await using fleet = await startFleet(plan);
    const { figures, problems } = await runWith(it, fleet, options.seed);
    return { ...report, ok: problems.length === 0, figures, problems };
  } catch (cause) {
    return { ...report, ok: false, figures: [], problems: [String(cause)] };
  }
}

async function runWith(it: FaultCase, fleet: Fleet, seed: number) {
  const avoided = new Set<string>();
  const routers = () =>
    fleet.routers.filter((router) => !avoided.has(router.id)).map((router) => router.callers);
  await submitConfiguration(fleet);
  const probe = startProbe({
    seed,
    kind: BROWSE,
    keys: KEY_NAMES,
    everyMs: PROBE_EVERY_MS,
    routers,
  });
  const context: CaseContext = {
    fleet,
    probe,
    random: createRandom(seed),
    avoid: ({ id }) => avoided.add(id),
    ask: ({ id }) => avoided.delete(id),
  };
  try {
    await waitUntilServed(probe, 1);
    const loading = runLoad(
      mixedLoad({ seed, requests: LOAD_REQUESTS, ratePerSecond: LOAD_PER_SECOND, routers }),
    );
    const figures = await it.run(context);
    const load = await loading;
    return await judge(
      fleet,
      [...figures, ...loadFigures(load, it.mayRefuse === true)],
      [...load.attempts, ...probe.attempts],
    );
  } finally {
    await probe.stop();
  }
}

async function judge(
  fleet: Fleet,
  figures: readonly Figure[],
  attempts: LoadResult['attempts'],
): Promise<Pick<CaseReport, 'figures' | 'problems'>> {
  const trace = await collectTrace(fleet, attempts);
  await writeFile(path.join(fleet.folder, TRACE_FILE), formatTrace(trace));
  return { figures, problems: [...figures.flatMap(problemOf), ...violationsOf(trace)] };
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
