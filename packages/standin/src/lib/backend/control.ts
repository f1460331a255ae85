import { healthReportSchema, loadReportSchema, refusalReasonSchema } from '@boragepoint/platform';
import * as v from 'valibot';

/** Path that takes a {@link BackendControl} by POST, on the control address. */
export const BACKEND_CONTROL_PATH = '/_control';

/** A change to a stand-in backend server; parts that are left out stay as they are. */
export const backendControlSchema = v.strictObject({
  /** Refuses new work with `draining`. */
  draining: v.exactOptional(v.boolean()),
  /** Refuses new work with this reason; `null` ends it. */
  refuse: v.exactOptional(v.nullable(refusalReasonSchema)),
  /** Time that a request takes, in milliseconds. */
  serviceMs: v.exactOptional(v.number()),
  /** Factor on the time that each request takes. */
  slowFactor: v.exactOptional(v.number()),
  /** Accepts requests and answers nothing, leases included. */
  silent: v.exactOptional(v.boolean()),
  /** Health reported in place of the true one; `null` ends it. */
  health: v.exactOptional(v.nullable(healthReportSchema)),
  /** Load reported in place of the true one; `null` ends it. */
  load: v.exactOptional(v.nullable(loadReportSchema)),
  /** Age up to which an earlier load report is repeated, in milliseconds. */
  loadLagMs: v.exactOptional(v.number()),
  /** Number of coming answers that end before their stated length. */
  cutNext: v.exactOptional(v.number()),
  /** Number of coming answers that carry a wrong request id. */
  mislabelNext: v.exactOptional(v.number()),
  /** Delay between the end of the work and the answer, in milliseconds. */
  answerDelayMs: v.exactOptional(v.number()),
});
export type BackendControl = v.InferOutput<typeof backendControlSchema>;

/** Faults in force at a stand-in backend server. */
export type BackendFaults = Required<BackendControl>;

/** Returns the state without any fault. */
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
