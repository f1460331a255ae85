import type { Result } from 'neverthrow';
import * as v from 'valibot';

import type { PlatformError } from './platform-error.js';

/** An instance as the platform lists it. The list may be outdated. */
export const instanceRecordSchema = v.object({
  id: v.string(),
  role: v.picklist(['router', 'backend-server']),
  availabilityZone: v.string(),
  region: v.string(),
  /** IP address and port: a router's peer listener, or a backend server's service port. */
  address: v.string(),
  state: v.picklist(['live', 'leaving']),
});
export type InstanceRecord = v.InferOutput<typeof instanceRecordSchema>;

/** The platform's list of live and leaving instances. */
export interface InstanceList {
  list(): Promise<Result<InstanceRecord[], PlatformError>>;
}
