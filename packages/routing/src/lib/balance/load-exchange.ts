import { type Result, ok } from 'neverthrow';

import type { Clock } from '../admission/index.js';
import type { KeyLoad } from './hot-key-sketch.js';
import { type LoadMeter, type RequestSample, createLoadMeter } from './load-meter.js';
import {
  type LoadSummaryError,
  type ServerLoad,
  type ServiceLoad,
  encodeLoadSummary,
  parseLoadSummary,
} from './load-summary.js';
import { estimateShardLoads, mergeServiceLoads } from './merge-loads.js';

/** Age above which a peer's summary is ignored. */
const STALE_SUMMARY_MS = 10_000;

/**
 * Measures the load of all services at this router and merges it with the summaries of its peers.
 */
export interface LoadExchange {
  /** Records a finished request. */
  record(service: string, sample: RequestSample): void;
  /** Returns the summary for the next heartbeat to all peers; each covers one service, in turn. */
  nextSummary(): string;
  /** Stores the summary of a peer's heartbeat; an empty one is ignored. */
  receive(peer: string, summary: string): Result<void, LoadSummaryError>;
  /** Removes the summaries of a peer that has left. */
  forget(peer: string): void;
  /** Returns the load of the given shards over all routers, in milliseconds of work per second. */
  shardLoads(service: string, shards: readonly number[]): Map<number, number>;
  /** Returns the loads of the backend servers over all routers. */
  servers(service: string): readonly ServerLoad[];
  /** Returns the hottest keys over all routers, hottest first. */
  hotKeys(service: string): readonly KeyLoad[];
}

/** A peer's summary with the time of its receipt. */
interface ReceivedSummary {
  readonly load: ServiceLoad;
  /** Time on the clock, in milliseconds. */
  readonly receivedAt: number;
}

/** Creates an exchange without measurements. */
export function createLoadExchange({ clock }: { readonly clock: Clock }): LoadExchange {
  const meters = new Map<string, LoadMeter>();
  const peers = new Map<string, Map<string, ReceivedSummary>>();
  let meterIndex = 0;

  function meterOf(service: string): LoadMeter {
    const known = meters.get(service);
    if (known) return known;
    const created = createLoadMeter({ clock, service });
    meters.set(service, created);
    return created;
  }

  function store(peer: string, load: ServiceLoad): void {
    const services = peers.get(peer) ?? new Map<string, ReceivedSummary>();
    services.set(load.service, { load, receivedAt: clock.now() });
    peers.set(peer, services);
  }

  function loadsOf(service: string): ServiceLoad[] {
    const oldestAt = clock.now() - STALE_SUMMARY_MS;
    const received = [...peers.values()]
      .map((it) => it.get(service))
      .filter((it) => it !== undefined)
      .filter((it) => it.receivedAt >= oldestAt)
      .map((it) => it.load);
    return [meterOf(service).read(), ...received];
  }

  return {
    record(service, sample) {
      meterOf(service).record(sample);
    },
    nextSummary() {
      const all = [...meters.values()];
      meterIndex = (meterIndex + 1) % Math.max(1, all.length);
      const meter = all[meterIndex];
      return meter ? encodeLoadSummary(meter.read()) : '';
    },
    receive(peer, summary) {
      if (summary === '') return ok(undefined);
      return parseLoadSummary(summary).map((load) => {
        store(peer, load);
      });
    },
    forget(peer) {
      peers.delete(peer);
    },
    shardLoads: (service, shards) => estimateShardLoads(loadsOf(service), shards),
    servers: (service) => mergeServiceLoads(service, loadsOf(service)).servers,
    hotKeys: (service) => mergeServiceLoads(service, loadsOf(service)).keys,
  };
}
