import { sleep } from '../clock.js';
import { BROWSE, CATALOGUE, KEY_NAMES, PAY, LOCATIONS, mixedLoad } from '../demo/demo-plan.js';
import type { Figure } from '../faults/fault-case.js';
import { waitUntilServed } from '../faults/unserved-time.js';
import { collectTrace, violationsOf } from '../harness/collect-trace.js';
import type { Fleet, FleetPlan } from '../harness/fleet.js';
import type { LoadPlan } from '../load/load-plan.js';
import type { LoadResult } from '../load/load-result.js';
import { startProbe, type Probe } from '../load/probe.js';
import { runLoad } from '../load/run-load.js';
import { createRandom, type Random } from '../random.js';
import { startBalancer } from './balancer.js';
import { round, type Emit } from './scenario.js';
import { startConfigured } from './start-configured.js';

const PROBE_INTERVAL_MS = 100;
const REQUESTS_PER_SECOND = 50;
const VIOLATIONS_SHOWN = 5;
/** Time under load before the scenario acts on the fleet. */
const WARM_UP_MS = 2_000;

/** Fleet of the scenarios under load: two routers and four servers in each availability zone. */
const FLEET: FleetPlan = {
  locations: LOCATIONS,
  routers: 4,
  logLevel: 'warn',
  services: [{ config: CATALOGUE, backendServers: 8, backendArgs: ['--service-ms', '2'] }],
};

/** Fleet and tools for the action of a scenario. */
export interface LoadedFleet {
  readonly fleet: Fleet;
  readonly probe: Probe;
  readonly random: Random;
}

/** A measurement under a load of idempotent and non-idempotent requests. */
export interface LoadedRun {
  readonly seed: number;
  /** Time for which requests are sent, in seconds. */
  readonly seconds: number;
  /** Overrides of the default load. */
  readonly load?: Partial<LoadPlan>;
  /** Acts on the fleet while requests are sent. */
  act(context: LoadedFleet): Promise<Figure[]>;
}

/** Result of a run under load. */
export interface LoadedResult {
  readonly load: LoadResult;
  readonly probe: Probe;
  readonly figures: readonly Figure[];
}

/** Sends a load of both kinds of request and probes each key while the scenario acts. */
export async function runUnderLoad(run: LoadedRun, emit: Emit): Promise<LoadedResult> {
  await using fleet = await startConfigured(FLEET);
  await using balancer = startBalancer(fleet);
  const { seed } = run;
  const routers = () => balancer.routers();
  const probe = startProbe({
    seed,
    kind: BROWSE,
    keys: KEY_NAMES,
    intervalMs: PROBE_INTERVAL_MS,
    routers,
  });
  await waitUntilServed(probe, 1);
  const requests = run.seconds * REQUESTS_PER_SECOND;
  const plan = mixedLoad({ seed, requests, ratePerSecond: REQUESTS_PER_SECOND, routers });
  const kinds = [BROWSE, { ...PAY, repeatShare: 0 }];
  const loading = runLoad({ ...plan, kinds, ...run.load });
  await sleep(WARM_UP_MS);
  const figures = await run.act({ fleet, probe, random: createRandom(seed) });
  const load = await loading;
  await probe.stop();
  emitKinds(load, emit);
  const trace = await collectTrace(fleet, [...load.attempts, ...probe.attempts]);
  const violations = violationsOf(trace);
  for (const message of violations.slice(0, VIOLATIONS_SHOWN)) emit('rules broken', { message });
  const broken = { name: 'rules broken', value: violations.length, atMost: 0 };
  return { load, probe, figures: [...figures, broken] };
}

function emitKinds({ kinds }: LoadResult, emit: Emit): void {
  for (const it of kinds) {
    emit('requests by kind', {
      kind: it.kind,
      requests: it.requests,
      ok: it.ok,
      'not run': it.notRun,
      unknown: it.unknown,
      'no answer': it.lost,
      attempts: it.attempts,
      'p50 ms': round(it.p50Ms),
      'p99 ms': round(it.p99Ms),
      'max ms': round(it.maxMs),
    });
  }
}

/** Sums a count over all kinds of request. */
export function total({ kinds }: LoadResult, count: 'requests' | 'attempts' | 'lost' | 'notRun') {
  return kinds.reduce((sum, it) => sum + it[count], 0);
}
