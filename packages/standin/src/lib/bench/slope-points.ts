import { monotonicMs, sleep } from '../clock.js';
import type { Fleet } from '../harness/fleet.js';
import { sampleUsage, usageRate, type UsageRate } from './process-usage.js';
import { readLeaseAnswer, scrapeRouter } from './scrape.js';

const SECOND_MS = 1_000;

/** Size of a fleet; `servers` counts those of all services, `shards` those of each service. */
export interface FleetSize {
  readonly routers: number;
  readonly servers: number;
  readonly shards: number;
  readonly services: number;
}

/** Resource usage of one router without requests from callers. */
export interface RouterPoint extends FleetSize, UsageRate {
  /** Number of backend servers for which it is the acting keeper. */
  readonly kept: number;
  readonly peerCallsPerSecond: number;
}

/** Resource usage of one backend server without requests from callers. */
export interface ServerPoint extends UsageRate {
  /** Number of shards that it holds. */
  readonly held: number;
  readonly renewalsPerSecond: number;
}

/** Load of one fleet on the platform without requests from callers. */
export interface TablePoint extends FleetSize {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
  readonly bytesInPerSecond: number;
  readonly bytesOutPerSecond: number;
}

/** Measurements of one fleet. */
export interface SlopePoint {
  readonly routers: readonly RouterPoint[];
  readonly servers: readonly ServerPoint[];
  readonly table: TablePoint;
}

async function sample(fleet: Fleet) {
  const at = monotonicMs();
  const counters = await Promise.all(fleet.routers.map((it) => scrapeRouter(it.operators)));
  const leases = await Promise.all(fleet.backendServers.map((it) => readLeaseAnswer(it.address)));
  const table = await fleet.platformCounters();
  return { at, counters, leases, table };
}

async function sampleProcesses(fleet: Fleet) {
  const usageOf = (nodes: readonly { readonly program: { readonly pid: number } }[]) =>
    Promise.all(nodes.map((it) => sampleUsage(it.program.pid)));
  return { routers: await usageOf(fleet.routers), servers: await usageOf(fleet.backendServers) };
}

/** Measures a fleet for a number of seconds. */
export async function measurePoint(
  fleet: Fleet,
  size: FleetSize,
  seconds: number,
): Promise<SlopePoint> {
  const before = await sample(fleet);
  const usedBefore = await sampleProcesses(fleet);
  await sleep(seconds * SECOND_MS);
  const usedAfter = await sampleProcesses(fleet);
  const after = await sample(fleet);
  const spanSeconds = (after.at - before.at) / SECOND_MS;
  const rate = (from: number | undefined, to: number | undefined) =>
    ((to ?? 0) - (from ?? 0)) / spanSeconds;
  const usageAt = (kind: 'routers' | 'servers', index: number) => {
    const [from, to] = [usedBefore[kind][index], usedAfter[kind][index]];
    if (from === undefined || to === undefined)
      throw new Error('a process of the fleet was not sampled');
    return usageRate(from, to);
  };
  return {
    routers: after.counters.map((it, index) => ({
      ...size,
      ...usageAt('routers', index),
      kept: it.kept,
      peerCallsPerSecond: rate(before.counters[index]?.peerCalls, it.peerCalls),
    })),
    servers: after.leases.map((it, index) => ({
      ...usageAt('servers', index),
      held: it.held.length,
      renewalsPerSecond: rate(before.leases[index]?.sequence, it.sequence - 1),
    })),
    table: {
      ...size,
      readsPerSecond: rate(before.table.reads, after.table.reads),
      writesPerSecond: rate(before.table.writes, after.table.writes),
      bytesInPerSecond: rate(before.table.bytesIn, after.table.bytesIn),
      bytesOutPerSecond: rate(before.table.bytesOut, after.table.bytesOut),
    },
  };
}
