import { createHash } from 'node:crypto';

import type { FleetSettings } from '@boragepoint/config';

const DIGEST_LENGTH = 12;

/**
 * Returns a digest of the settings. Those that differ between instances by design are left out, so
 * that all instances of a fleet have the same digest unless one diverges.
 */
export function settingsDigest(settings: FleetSettings): string {
  const shared = { ...settings, instance: undefined, listen: undefined, processor: undefined };
  return createHash('sha256').update(JSON.stringify(shared)).digest('hex').slice(0, DIGEST_LENGTH);
}
