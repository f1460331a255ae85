import { openSync, writeSync } from 'node:fs';

/** Something that a stand-in backend server did; `at` is the host's monotonic time in ms. */
export type BackendEvent = RanEvent | ShardEvent | DroppedEvent;

/** A request was begun; `at` is the time that its ownership check used. Written before the work, so that a crash can't hide it. */
export interface RanEvent {
  readonly kind: 'ran';
  readonly at: number;
  readonly server: string;
  readonly start: string;
  readonly service: string;
  readonly shard: number;
  readonly epoch: number;
  readonly requestId: string;
  /** Path and query of the request. */
  readonly key: string;
  readonly idempotencyKey?: string;
  readonly idempotent: boolean;
}

/** A shard was granted, was released by order, or lapsed with the lease. */
export interface ShardEvent {
  readonly kind: 'granted' | 'released' | 'lapsed';
  readonly at: number;
  readonly server: string;
  readonly service: string;
  readonly shard: number;
  readonly epoch: number;
}

/** A waiting request was given up by its sender and was not run. */
export interface DroppedEvent {
  readonly kind: 'dropped';
  readonly at: number;
  readonly server: string;
  readonly requestId: string;
}

/** Takes events. */
export type EventSink = (event: BackendEvent) => void;

/** Creates a sink that appends JSON lines to a file, each written before the call returns. */
export function createEventLog(file: string | undefined): EventSink {
  if (file === undefined) return () => undefined;
  const descriptor = openSync(file, 'a');
  return (event) => {
    writeSync(descriptor, `${JSON.stringify(event)}\n`);
  };
}
