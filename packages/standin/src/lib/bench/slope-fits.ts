import type { Figure } from '../faults/fault-case.js';
import { fitLine, type FitPoint } from './least-squares.js';
import { round, type Emit, type Row } from './scenario.js';
import type { RouterPoint, ServerPoint, SlopePoint, TablePoint } from './slope-points.js';

const ROUTER_COSTS = [
  'cpuPercent',
  'residentMiB',
  'readBytesPerSecond',
  'writtenBytesPerSecond',
  'peerCallsPerSecond',
] as const;
const SERVER_COSTS = [
  'cpuPercent',
  'residentMiB',
  'readBytesPerSecond',
  'writtenBytesPerSecond',
  'renewalsPerSecond',
] as const;
const TABLE_COSTS = [
  'readsPerSecond',
  'writesPerSecond',
  'bytesInPerSecond',
  'bytesOutPerSecond',
] as const;
/** Significant digits with which slopes are printed. */
const SLOPE_DIGITS = 4;

function mean(numbers: readonly number[]): number {
  return numbers.reduce((sum, it) => sum + it, 0) / numbers.length;
}

/** Emits the mean costs at one fleet size. */
export function emitPoint({ routers, servers, table }: SlopePoint, emit: Emit): void {
  const ofRouters = (cost: (typeof ROUTER_COSTS)[number]) =>
    round(mean(routers.map((it) => it[cost])));
  const ofServers = (cost: (typeof SERVER_COSTS)[number]) =>
    round(mean(servers.map((it) => it[cost])));
  emit('mean of each router', {
    routers: table.routers,
    servers: table.servers,
    shards: table.shards,
    services: table.services,
    kept: round(mean(routers.map((it) => it.kept))),
    'cpu %': ofRouters('cpuPercent'),
    'memory MiB': ofRouters('residentMiB'),
    'read B/s': Math.round(ofRouters('readBytesPerSecond')),
    'written B/s': Math.round(ofRouters('writtenBytesPerSecond')),
    'peer calls/s': ofRouters('peerCallsPerSecond'),
  });
  emit('table and mean of each backend server', {
    routers: table.routers,
    servers: table.servers,
    shards: table.shards,
    services: table.services,
    'reads/s': round(table.readsPerSecond),
    'writes/s': round(table.writesPerSecond),
    'B out/s': Math.round(table.bytesOutPerSecond),
    'renewals/s': ofServers('renewalsPerSecond'),
    'server cpu %': ofServers('cpuPercent'),
    'server B in/s': Math.round(ofServers('readBytesPerSecond')),
    'server B out/s': Math.round(ofServers('writtenBytesPerSecond')),
  });
}

function emitFit(
  [table, cost]: readonly [string, string],
  names: readonly string[],
  points: readonly FitPoint[],
  emit: Emit,
): void {
  const fit = fitLine(points);
  const slopes = names.map((name, index) => [
    `per ${name}`,
    Number((fit.slopes[index] ?? 0).toPrecision(SLOPE_DIGITS)),
  ]);
  const row: Row = {
    cost,
    constant: round(fit.constant),
    ...(Object.fromEntries(slopes) as Row),
    'residual error': round(fit.residual),
    'variance explained': round(fit.explained),
    points: fit.points,
  };
  emit(table, row);
}

function routerInputs({ routers, kept, servers, shards, services }: RouterPoint): number[] {
  return [routers - 1, kept, servers, shards * services, services];
}

function tableInputs({ routers, servers, shards, services }: TablePoint): number[] {
  return [routers, routers * servers, routers * shards * services];
}

/** Fits a linear model to each cost and emits the fits. */
export function fitPoints(points: readonly SlopePoint[], emit: Emit): Figure[] {
  const routers: RouterPoint[] = points.flatMap((it) => it.routers);
  const servers: ServerPoint[] = points.flatMap((it) => it.servers);
  for (const cost of ROUTER_COSTS) {
    const fitted = routers.map((it) => ({ inputs: routerInputs(it), output: it[cost] }));
    const names = ['peer', 'kept server', 'known server', 'shard', 'service'];
    emitFit(['fit for one router', cost], names, fitted, emit);
  }
  for (const cost of SERVER_COSTS) {
    const fitted = servers.map((it) => ({ inputs: [it.held], output: it[cost] }));
    emitFit(['fit for one backend server', cost], ['shard held'], fitted, emit);
  }
  for (const cost of TABLE_COSTS) {
    const fitted = points.map(({ table }) => ({ inputs: tableInputs(table), output: table[cost] }));
    const names = ['router', 'router and server', 'router and shard'];
    emitFit(['fit for the table', cost], names, fitted, emit);
  }
  return [];
}
