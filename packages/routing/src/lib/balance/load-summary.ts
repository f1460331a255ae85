import { Result, err, ok } from 'neverthrow';
import * as v from 'valibot';

import type { SketchReading } from './hot-key-sketch.js';

/** Largest size of an encoded summary, in bytes. */
export const MAX_SUMMARY_BYTES = 1_536;

const loadSchema = v.pipe(v.number(), v.minValue(0));

/** What one router measured of one backend server. */
export interface ServerLoad {
  readonly id: string;
  /** Requests for each second that this router sent to it. */
  readonly requests: number;
  /** Work in milliseconds for each second. */
  readonly load: number;
  /** Mean latency in milliseconds. */
  readonly latencyMs: number;
  /** Share of requests that failed, from 0 to 1. */
  readonly failures: number;
}

/** Load of one service as one router measured it. */
export interface ServiceLoad extends SketchReading {
  readonly service: string;
  readonly servers: readonly ServerLoad[];
}

/** Compact form: tuples keep the summary small, and are turned into named fields when it is read. */
const wireSchema = v.array(
  v.object({
    n: v.string(),
    t: loadSchema,
    /** Shard, load. */
    h: v.array(v.tuple([v.number(), loadSchema])),
    /** Key hash, shard, load, error. */
    k: v.array(v.tuple([v.string(), v.number(), loadSchema, loadSchema])),
    /** Id, requests, load, latency, failures. */
    b: v.array(v.tuple([v.string(), loadSchema, loadSchema, loadSchema, loadSchema])),
  }),
);
type WireService = v.InferOutput<typeof wireSchema>[number];

/** A load summary that could not be read. */
export class LoadSummaryError extends Error {
  override readonly name = 'LoadSummaryError';
}

/** Entries of each kind that a service starts with; fewer if the summary would be too large. */
const MAX_ENTRIES = 64;
const SIGNIFICANT_DIGITS = 3;

function round(value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}

/** Share of a list that is kept, at least one entry. */
function keep<T>(items: readonly T[], share: number): T[] {
  return items.slice(0, Math.ceil(Math.min(items.length, MAX_ENTRIES) * share));
}

function toWire(load: ServiceLoad, share: number): WireService {
  const shards = [...load.shards].sort((a, b) => b[1] - a[1]);
  const servers = [...load.servers].sort((a, b) => b.load - a.load);
  return {
    n: load.service,
    t: round(load.total),
    h: keep(shards, share).map(([shard, it]) => [shard, round(it)]),
    k: keep(load.keys, share / 2).map((it) => [
      it.keyHash,
      it.shard,
      round(it.load),
      round(it.error),
    ]),
    b: keep(servers, share).map((it) => [
      it.id,
      round(it.requests),
      round(it.load),
      round(it.latencyMs),
      round(it.failures),
    ]),
  };
}

/**
 * Encodes the load of all services as JSON text of at most `maxBytes` bytes. The hottest
 * shards, keys and servers are kept; entries that would make it larger are left out evenly.
 */
export function encodeLoadSummary(
  services: readonly ServiceLoad[],
  maxBytes = MAX_SUMMARY_BYTES,
): string {
  const SHRINK = 0.8;
  const LEAST_SHARE = 0.01;
  for (let share = 1; share > LEAST_SHARE; share *= SHRINK) {
    const text = JSON.stringify(services.map((it) => toWire(it, share)));
    if (Buffer.byteLength(text) <= maxBytes) return text;
  }
  return '[]';
}

function fromWire({ n, t, h, k, b }: WireService): ServiceLoad {
  return {
    service: n,
    total: t,
    shards: new Map(h),
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

/** Reads a summary that a peer sent. */
export function parseLoadSummary(text: string): Result<ServiceLoad[], LoadSummaryError> {
  const json = Result.fromThrowable(
    () => JSON.parse(text) as unknown,
    (cause) => new LoadSummaryError('the load summary is not JSON', { cause }),
  )();
  return json.andThen((value) => {
    const parsed = v.safeParse(wireSchema, value);
    if (parsed.success) return ok(parsed.output.map(fromWire));
    return err(new LoadSummaryError(`unexpected load summary: ${parsed.issues[0].message}`));
  });
}
