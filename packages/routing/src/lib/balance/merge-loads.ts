import type { KeyLoad } from './hot-key-sketch.js';
import type { ServerLoad, ServiceLoad } from './load-summary.js';

function mergeKeys(loads: readonly ServiceLoad[]): KeyLoad[] {
  const merged = new Map<string, KeyLoad>();
  for (const key of loads.flatMap((it) => it.keys)) {
    const known = merged.get(key.keyHash);
    merged.set(key.keyHash, {
      ...key,
      load: key.load + (known?.load ?? 0),
      error: key.error + (known?.error ?? 0),
    });
  }
  return [...merged.values()].sort((a, b) => b.load - a.load);
}

function mergeServer(a: ServerLoad, b: ServerLoad): ServerLoad {
  const requests = a.requests + b.requests;
  const mean = (x: number, y: number) =>
    requests > 0 ? (x * a.requests + y * b.requests) / requests : 0;
  return {
    id: a.id,
    requests,
    load: a.load + b.load,
    latencyMs: mean(a.latencyMs, b.latencyMs),
    failures: mean(a.failures, b.failures),
  };
}

function mergeServers(loads: readonly ServiceLoad[]): ServerLoad[] {
  const merged = new Map<string, ServerLoad>();
  for (const server of loads.flatMap((it) => it.servers)) {
    const known = merged.get(server.id);
    merged.set(server.id, known ? mergeServer(known, server) : server);
  }
  return [...merged.values()];
}

/**
 * Merges the loads of one service that several routers measured, by adding up the counts (Agarwal
 * et al., "Mergeable Summaries", PODS 2012). If a router's summary omits a key, the load of that
 * key is underestimated by at most the load of the lightest key in the summary.
 */
export function mergeServiceLoads(service: string, loads: readonly ServiceLoad[]): ServiceLoad {
  const shards = new Map<number, number>();
  for (const [shard, load] of loads.flatMap((it) => [...it.shards])) {
    shards.set(shard, load + (shards.get(shard) ?? 0));
  }
  return {
    service,
    total: loads.reduce((sum, it) => sum + it.total, 0),
    shards,
    keys: mergeKeys(loads),
    servers: mergeServers(loads),
  };
}

/**
 * Adds the loads of one router's summary to the sums. Each of the shards that the summary omits
 * gets an equal part of the rest of its total.
 */
function addEstimate(
  sums: Map<number, number>,
  load: ServiceLoad,
  shards: readonly number[],
): void {
  const includedLoad = shards.reduce((sum, shard) => sum + (load.shards.get(shard) ?? 0), 0);
  const omittedCount = shards.filter((shard) => !load.shards.has(shard)).length;
  const evenShare = omittedCount > 0 ? Math.max(0, load.total - includedLoad) / omittedCount : 0;
  for (const shard of shards) {
    sums.set(shard, (sums.get(shard) ?? 0) + (load.shards.get(shard) ?? evenShare));
  }
}

/**
 * Estimates the load of every shard, including those that summaries omit, from the loads that
 * several routers measured.
 */
export function estimateShardLoads(
  loads: readonly ServiceLoad[],
  shards: readonly number[],
): Map<number, number> {
  const sums = new Map<number, number>();
  for (const load of loads) addEstimate(sums, load, shards);
  return sums;
}
