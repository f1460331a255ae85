import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

/** Load that one worker thread sends. */
export interface ThreadPlan {
  readonly address: string;
  readonly service: string;
  readonly connections: number;
  /** Time for which requests are sent. */
  readonly seconds: number;
  /** Requests per second; without it, each connection sends as fast as it gets answers. */
  readonly perSecond?: number;
}

/** Result of a thread's load. Latencies are of successful requests, from their due times. */
export interface ThreadResult {
  readonly sent: number;
  readonly ok: number;
  /** Time from the start until the last answer. */
  readonly seconds: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Sends a load from a worker thread and waits for its result. */
export async function runThreadLoad(plan: ThreadPlan): Promise<ThreadResult> {
  const worker = new Worker(new URL('./load-thread.js', import.meta.url), { workerData: plan });
  const [result] = (await once(worker, 'message')) as [ThreadResult];
  return result;
}
