import type { Result } from 'neverthrow';

import type { PlatformError } from './platform-error.js';

/** Stores whole objects by key. */
export interface ObjectStore {
  /** Stores or replaces an object. */
  put(key: string, body: Uint8Array): Promise<Result<void, PlatformError>>;
  /** Returns an object, or `undefined` if there is none. */
  get(key: string): Promise<Result<Uint8Array | undefined, PlatformError>>;
  /** Removes an object; removing one that does not exist succeeds. */
  delete(key: string): Promise<Result<void, PlatformError>>;
}
