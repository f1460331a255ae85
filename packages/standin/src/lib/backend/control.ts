import { healthReportSchema, loadReportSchema, refusalReasonSchema } from '@boragepoint/platform';
import * as v from 'valibot';

/** Path on the control address that accepts a {@link BackendControl} by POST. */
export const BACKEND_CONTROL_PATH = '/_control';

/** A change to the faults of a stand-in backend server; omitted fields keep their values. */
export const backendControlSchema = v.strictObject({
  /** Refuses new requests with the reason `draining`. */
  draining: v.exactOptional(v.boolean()),
  /** Refuses new requests with this reason; `null` ends the fault. */
  refuse: v.exactOptional(v.nullable(refusalReasonSchema)),
  /** Default processing time of a request, in milliseconds. */
  serviceMs: v.exactOptional(v.number()),
  /** Multiplier on the processing time of each request. */
  slowFactor: v.exactOptional(v.number()),
  /** Accepts requests, lease renewals included, and never answers them. */
  silent: v.exactOptional(v.boolean()),
  /** Health report sent instead of the actual one; `null` ends the fault. */
  health: v.exactOptional(v.nullable(healthReportSchema)),
  /** Load report sent instead of the actual one; `null` ends the fault. */
  load: v.exactOptional(v.nullable(loadReportSchema)),
  /** Time for which a load report is reused before it is refreshed, in milliseconds. */
  loadLagMs: v.exactOptional(v.number()),
  /** Number of upcoming answers that are truncated before their content length. */
  cutNext: v.exactOptional(v.number()),
  /** Number of upcoming answers that carry a wrong request id. */
  mislabelNext: v.exactOptional(v.number()),
  /** Delay between the end of processing and the answer, in milliseconds. */
  answerDelayMs: v.exactOptional(v.number()),
});
export type BackendControl = v.InferOutput<typeof backendControlSchema>;

/** Faults that are active in a stand-in backend server. */
export type BackendFaults = Required<BackendControl>;

/** Returns a state in which no fault is active. */
export function withoutFaults(serviceMs: number): BackendFaults {
  return {
    draining: false,
    refuse: null,
    serviceMs,
    slowFactor: 1,
    silent: false,
    health: null,
    load: null,
    loadLagMs: 0,
    cutNext: 0,
    mislabelNext: 0,
    answerDelayMs: 0,
  };
}
