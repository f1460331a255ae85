import { sleep } from '../clock.js';
import { LOCATIONS, CATALOGUE } from '../demo/demo-plan.js';
import type { Figure } from '../faults/fault-case.js';
import type { Fleet, FleetPlan } from '../harness/fleet.js';
import type { Emit, Scenario, ScenarioOptions } from './scenario.js';
import { startConfigured } from './start-configured.js';
import { fitPoints, emitPoint } from './slope-fits.js';
import { measurePoint, type FleetSize, type SlopePoint } from './slope-points.js';

const DEFAULT_SECONDS = 3;
/** Time for which a fleet runs before it is measured, so that its code has been JIT-compiled. */
const WARM_UP_MS = 5_000;
const BASE_SIZE: FleetSize = { routers: 3, servers: 12, shards: 64, services: 1 };
/** Fleet sizes by batch; the fleets of one batch run and are measured in parallel. */
const BATCHES: readonly (readonly FleetSize[])[] = [
  [
    BASE_SIZE,
    { ...BASE_SIZE, shards: 256 },
    { ...BASE_SIZE, shards: 1_024 },
    { ...BASE_SIZE, services: 3 },
  ],
  [
    { ...BASE_SIZE, routers: 12 },
    { ...BASE_SIZE, servers: 24 },
  ],
  [
    { ...BASE_SIZE, routers: 6 },
    { ...BASE_SIZE, servers: 40 },
  ],
];

function planOf({ routers, servers, shards, services }: FleetSize): FleetPlan {
  const names = Array.from({ length: services }, (_, index) => `${CATALOGUE.name}-${index}`);
  return {
    locations: LOCATIONS,
    routers,
    logLevel: 'warn',
    services: names.map((name) => ({
      config: { ...CATALOGUE, name, shards, movesPerMinute: 0 },
      backendServers: servers / services,
    })),
  };
}

async function startSize(size: FleetSize): Promise<{ size: FleetSize; fleet: Fleet }> {
  return { size, fleet: await startConfigured(planOf(size)) };
}

async function measureBatch(
  sizes: readonly FleetSize[],
  seconds: number,
  emit: Emit,
): Promise<SlopePoint[]> {
  const started = await Promise.all(sizes.map(startSize));
  try {
    await sleep(WARM_UP_MS);
    const points = await Promise.all(
      started.map(({ fleet, size }) => measurePoint(fleet, size, seconds)),
    );
    for (const point of points) emitPoint(point, emit);
    return points;
  } finally {
    await Promise.all(started.map(({ fleet }) => fleet[Symbol.asyncDispose]()));
  }
}

async function run({ seconds }: ScenarioOptions, emit: Emit): Promise<Figure[]> {
  const points: SlopePoint[] = [];
  for (const sizes of BATCHES) {
    points.push(...(await measureBatch(sizes, seconds ?? DEFAULT_SECONDS, emit)));
  }
  return fitPoints(points, emit);
}

/** Cost of the control traffic at several fleet sizes without callers, with linear fits. */
export const slopes: Scenario = {
  name: 'slopes',
  about: 'cost of control without callers against peers, servers, shards and services',
  run,
};
