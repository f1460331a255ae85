import {
  LEASE_PATH,
  abortAfter,
  limitFraming,
  readWithProgress,
  type LeaseAnswer,
  type LeaseRequest,
  leaseAnswerSchema,
} from '@boragepoint/platform';
import { type Result, err, ok } from 'neverthrow';
import { Agent } from 'undici';
import * as v from 'valibot';

/**
 * Maximum size of an answer, in bytes: twice what all 65,536 shards of a service take with 130 bytes
 * each.
 */
const MAX_ANSWER_BYTES = 16 << 20;
/** The total time of a renewal is limited. */
const NO_PROGRESS_TIMEOUT = { progressed: () => undefined };

/** A renewal that got no usable answer. */
export class LeaseError extends Error {
  override readonly name = 'LeaseError';
}

/** Sends renewals to backend servers. */
export interface LeaseClient extends AsyncDisposable {
  /**
   * Sends one renewal and returns its answer.
   * @param address IP address and port of the backend server.
   * @param timeoutMs Longest wait for the answer.
   */
  send(
    address: string,
    req: LeaseRequest,
    timeoutMs: number,
  ): Promise<Result<LeaseAnswer, LeaseError>>;
}

/** Creates a client with its own connections, so that in-flight requests don't delay renewals. */
export function createLeaseClient(): LeaseClient {
  const limited = limitFraming({});
  const agent = new Agent({
    connections: 1,
    pipelining: 1,
    keepAliveTimeout: 10_000,
    connect: limited.connect,
  });
  const dispatcher = limited.observed(agent);
  return {
    async send(address, req, timeoutMs) {
      using timeout = abortAfter(timeoutMs);
      try {
        const res = await dispatcher.request({
          origin: `http://${address}`,
          path: LEASE_PATH,
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(req),
          signal: timeout.signal,
        });
        const body = await readWithProgress(res.body, NO_PROGRESS_TIMEOUT, MAX_ANSWER_BYTES);
        return ok(v.parse(leaseAnswerSchema, JSON.parse(body.toString('utf8'))));
      } catch (cause) {
        return err(
          new LeaseError(`the lease renewal got no usable answer from ${address}`, { cause }),
        );
      }
    },
    async [Symbol.asyncDispose]() {
      await agent.destroy();
    },
  };
}
