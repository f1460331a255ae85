import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { CATALOGUE, LOCATIONS } from '../demo/demo-plan.js';
import type { Figure } from '../faults/fault-case.js';
import { startProgram, type Program } from '../harness/child-program.js';
import type { Fleet, FleetPlan } from '../harness/fleet.js';
import { waitForListening } from '../harness/programs.js';
import { sampleUsage } from './process-usage.js';
import { round, type Emit, type Scenario, type ScenarioOptions } from './scenario.js';
import { startConfigured } from './start-configured.js';
import { runThreadLoad, type ThreadPlan, type ThreadResult } from './thread-load.js';

const DEFAULT_SECONDS = 4;
const ROUNDS = 2;
const WARM_UP_SECONDS = 3;
const CONNECTIONS = 16;
const HALF_LOAD = 0.5;
const MIN_THROUGHPUT_SHARE = 0.8;
const MAX_ADDED_MS = 2;

const FLEET: FleetPlan = {
  locations: LOCATIONS,
  routers: 1,
  logLevel: 'warn',
  services: [
    {
      config: { ...CATALOGUE, movesPerMinute: 0 },
      backendServers: 4,
      // The pass-through sends no epochs, so the servers must not check them.
      backendArgs: ['--service-ms', '0', '--slots', '16', '--no-checks'],
    },
  ],
};

/** A program through which requests are sent to the backend servers. */
interface Target {
  readonly name: string;
  readonly address: string;
  readonly pid: number;
}

interface Measured extends ThreadResult {
  readonly name: string;
  /** Successful answers per second of the target's processor time. */
  readonly okPerCpuSecond: number;
}

function startPassThrough(fleet: Fleet): Program {
  const to = fleet.backendServers.map((it) => it.address).join(',');
  return startProgram({
    name: 'pass-through',
    script: fileURLToPath(new URL('../../bin/pass-through.js', import.meta.url)),
    args: ['--to', to],
    outputFile: path.join(fleet.folder, 'pass-through.out'),
  });
}

async function measure(
  target: Target,
  plan: Pick<ThreadPlan, 'seconds' | 'perSecond'>,
  emit: Emit,
): Promise<Measured> {
  const { name, address, pid } = target;
  const before = await sampleUsage(pid);
  const result = await runThreadLoad({
    ...plan,
    address,
    service: CATALOGUE.name,
    connections: CONNECTIONS,
  });
  const after = await sampleUsage(pid);
  const okPerCpuSecond = result.ok / (after.cpuSeconds - before.cpuSeconds);
  emit('requests through each program', {
    program: name,
    load: plan.perSecond === undefined ? 'full' : 'half',
    'ok/s': round(result.ok / result.seconds),
    'not ok': result.sent - result.ok,
    'p50 ms': result.p50Ms,
    'p99 ms': result.p99Ms,
    'ok per core-second': round(okPerCpuSecond),
    'memory MiB': round(after.residentMiB),
  });
  return { ...result, name, okPerCpuSecond };
}

function mean(numbers: readonly number[]): number {
  return numbers.reduce((sum, it) => sum + it, 0) / numbers.length;
}

async function measureBoth(targets: readonly Target[], seconds: number, emit: Emit) {
  for (const target of targets) {
    await runThreadLoad({
      address: target.address,
      service: CATALOGUE.name,
      connections: CONNECTIONS,
      seconds: WARM_UP_SECONDS,
    });
  }
  const full: Measured[] = [];
  for (let number = 0; number < ROUNDS; number += 1) {
    for (const target of targets) full.push(await measure(target, { seconds }, emit));
  }
  const rates = full.filter((it) => it.name === 'router').map((it) => it.ok / it.seconds);
  const perSecond = Math.max(1, Math.round(mean(rates) * HALF_LOAD));
  const half: Measured[] = [];
  for (let number = 0; number < ROUNDS; number += 1) {
    for (const target of targets) half.push(await measure(target, { seconds, perSecond }, emit));
  }
  return { full, half };
}

function figuresOf(full: readonly Measured[], half: readonly Measured[]): Figure[] {
  const meanOf = (runs: readonly Measured[], name: string, take: (it: Measured) => number) =>
    mean(runs.filter((it) => it.name === name).map(take));
  const share = (take: (it: Measured) => number) =>
    meanOf(full, 'router', take) / meanOf(full, 'pass-through', take);
  const added = (take: (it: Measured) => number) =>
    meanOf(half, 'router', take) - meanOf(half, 'pass-through', take);
  return [
    {
      name: 'throughput against the pass-through',
      value: share((it) => it.ok / it.seconds),
      atLeast: MIN_THROUGHPUT_SHARE,
    },
    { name: 'requests per core-second against it', value: share((it) => it.okPerCpuSecond) },
    { name: 'p50 added at half load ms', value: added((it) => it.p50Ms) },
    { name: 'p99 added at half load ms', value: added((it) => it.p99Ms), atMost: MAX_ADDED_MS },
  ];
}

async function run({ seconds }: ScenarioOptions, emit: Emit): Promise<Figure[]> {
  await using fleet = await startConfigured(FLEET);
  await using passThrough = startPassThrough(fleet);
  const { listening } = await waitForListening(passThrough);
  const [router] = fleet.routers;
  if (router === undefined) throw new Error('the scenario needs at least one router');
  const targets: Target[] = [
    { name: 'router', address: router.callers, pid: router.program.pid },
    { name: 'pass-through', address: listening, pid: passThrough.pid },
  ];
  const { full, half } = await measureBoth(targets, seconds ?? DEFAULT_SECONDS, emit);
  return figuresOf(full, half);
}

/** Overhead of a router compared to a program that only forwards requests. */
export const overhead: Scenario = {
  name: 'overhead',
  about: 'throughput and latency of one router beside a bare pass-through',
  run,
};
