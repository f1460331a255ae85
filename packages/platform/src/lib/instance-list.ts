import type { Result } from 'neverthrow';
import * as v from 'valibot';

import type { PlatformError } from './platform-error.js';

/** An instance as the platform lists it. The list lags behind what happens. */
export const instanceRecordSchema = v.object({
  id: v.string(),
  role: v.picklist(['router', 'backend-server']),
  availabilityZone: v.string(),
  region: v.string(),
  /** IP address and port: of the peer listener for a router, of the service for a backend server. */
  address: v.string(),
  state: v.picklist(['live', 'leaving']),
});
export type InstanceRecord = v.InferOutput<typeof instanceRecordSchema>;

/** The platform's list of live and leaving instances. */
export interface InstanceList {
  list(): Promise<Result<InstanceRecord[], PlatformError>>;
}
