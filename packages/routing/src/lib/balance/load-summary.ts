import { Result, err, ok } from 'neverthrow';
import * as v from 'valibot';

import type { SketchReading } from './hot-key-sketch.js';

/** Largest size of an encoded summary, in bytes. */
export const MAX_SUMMARY_BYTES = 1_536;

const loadSchema = v.pipe(v.number(), v.minValue(0));

/** Load of one backend server as measured by one router. */
export interface ServerLoad {
  readonly id: string;
  /** Requests per second from this router. */
  readonly requests: number;
  /** Work in milliseconds per second. */
  readonly load: number;
  /** Mean latency in milliseconds. */
  readonly latencyMs: number;
  /** Share of requests that failed, from 0 to 1. */
  readonly failures: number;
}

/** Load of one service as measured by one router. */
export interface ServiceLoad extends SketchReading {
  readonly service: string;
  readonly servers: readonly ServerLoad[];
}

/** Wire format. Short names and tuples keep the summary small. */
const wireSchema = v.object({
  /** Name of the service. */
  n: v.string(),
  /** Total load. */
  t: loadSchema,
  /** Shards, hottest first. */
  s: v.array(v.number()),
  /** Loads of the shards, in the same order. */
  l: v.array(loadSchema),
  /** Keys: hash, shard, load, error. */
  k: v.array(v.tuple([v.string(), v.number(), loadSchema, loadSchema])),
  /** Backend servers: id, requests, load, latency, share of failures. */
  b: v.array(v.tuple([v.string(), loadSchema, loadSchema, loadSchema, loadSchema])),
});
type WireSummary = v.InferOutput<typeof wireSchema>;

/** Error for a load summary that can't be parsed. */
export class LoadSummaryError extends Error {
  override readonly name = 'LoadSummaryError';
}

const MAX_KEYS = 12;
const MAX_SERVERS = 16;
/** Factor by which lists are shortened repeatedly until the summary fits. */
const SHRINK_FACTOR = 0.85;
const SIGNIFICANT_DIGITS = 3;

function round(value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}

/**
 * Returns the servers with the most failures, then with the highest latency, since these are
 * the ones that peers need to know of.
 */
function worstServers(servers: readonly ServerLoad[]): ServerLoad[] {
  return [...servers]
    .sort((a, b) => b.failures - a.failures || b.latencyMs - a.latencyMs)
    .slice(0, MAX_SERVERS);
}

function toWire(load: ServiceLoad): WireSummary {
  const shards = [...load.shards].sort((a, b) => b[1] - a[1]);
  const keys = load.keys.slice(0, MAX_KEYS);
  return {
    n: load.service,
    t: round(load.total),
    s: shards.map(([shard]) => shard),
    l: shards.map(([, it]) => round(it)),
    k: keys.map((it) => [it.keyHash, it.shard, round(it.load), round(it.error)]),
    b: worstServers(load.servers).map((it) => [
      it.id,
      round(it.requests),
      round(it.load),
      round(it.latencyMs),
      round(it.failures),
    ]),
  };
}

/** Shortens the list of shards; once it is short, the other lists as well. */
function shrink(wire: WireSummary): WireSummary {
  const FEW_SHARDS = 16;
  const shorten = <T>(items: readonly T[]) =>
    items.slice(0, Math.floor(items.length * SHRINK_FACTOR));
  const shards = { s: shorten(wire.s), l: shorten(wire.l) };
  if (wire.s.length > FEW_SHARDS) return { ...wire, ...shards };
  return { ...wire, ...shards, k: shorten(wire.k), b: shorten(wire.b) };
}

/**
 * Encodes the load of one service as JSON text of at most `maxBytes` bytes. The summary contains
 * the hottest keys, the servers with the most failures or the highest latency, and as many of the
 * hottest shards as fit.
 */
export function encodeLoadSummary(load: ServiceLoad, maxBytes = MAX_SUMMARY_BYTES): string {
  let wire = toWire(load);
  let text = JSON.stringify(wire);
  while (Buffer.byteLength(text) > maxBytes && wire.s.length + wire.k.length + wire.b.length > 0) {
    wire = shrink(wire);
    text = JSON.stringify(wire);
  }
  return text;
}

function fromWire({ n, t, s, l, k, b }: WireSummary): ServiceLoad {
  return {
    service: n,
    total: t,
    shards: new Map(s.map((shard, i) => [shard, l[i] ?? 0])),
    keys: k.map(([keyHash, shard, load, error]) => ({ keyHash, shard, load, error })),
    servers: b.map(([id, requests, load, latencyMs, failures]) => ({
      id,
      requests,
      load,
      latencyMs,
      failures: Math.min(1, failures),
    })),
  };
}

/** Parses a summary of a peer. */
export function parseLoadSummary(text: string): Result<ServiceLoad, LoadSummaryError> {
  const json = Result.fromThrowable(
    () => JSON.parse(text) as unknown,
    (cause) => new LoadSummaryError('the load summary is not JSON', { cause }),
  )();
  return json.andThen((value) => {
    const parsed = v.safeParse(wireSchema, value);
    if (parsed.success) return ok(fromWire(parsed.output));
    return err(
      new LoadSummaryError(
        `the load summary does not match its schema: ${parsed.issues[0].message}`,
      ),
    );
  });
}
