import { openSync, writeSync } from 'node:fs';

/** An event of a stand-in backend server; `at` is the host's monotonic time in milliseconds. */
export type BackendEvent = RanEvent | ShardEvent | DroppedEvent;

/**
 * Processing of a request started; `at` is the time that its ownership check used. The event is
 * written before processing, so that it is in the log even if the request crashes the process.
 */
export interface RanEvent {
  readonly kind: 'ran';
  readonly at: number;
  readonly server: string;
  /** Id of the incarnation of the backend server. */
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

/** A shard was granted, was released on the keeper's order, or lapsed when the lease expired. */
export interface ShardEvent {
  readonly kind: 'granted' | 'released' | 'lapsed';
  readonly at: number;
  readonly server: string;
  readonly service: string;
  readonly shard: number;
  readonly epoch: number;
}

/** A queued request was dropped without being run, because its sender cancelled it. */
export interface DroppedEvent {
  readonly kind: 'dropped';
  readonly at: number;
  readonly server: string;
  readonly requestId: string;
}

/** Receives the events of a backend server. */
export type EventSink = (event: BackendEvent) => void;

/** Creates a sink that appends events to a file as JSON lines, synchronously. */
export function createEventLog(file: string | undefined): EventSink {
  if (file === undefined) return () => undefined;
  const descriptor = openSync(file, 'a');
  return (event) => {
    writeSync(descriptor, `${JSON.stringify(event)}\n`);
  };
}
