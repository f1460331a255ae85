import { createHash } from 'node:crypto';

import type { FleetSettings } from '@boragepoint/config';

const DIGEST_LENGTH = 12;

/**
 * Digest of the settings that all instances of a fleet share, so that a divergent instance shows.
 */
export function settingsDigest(settings: FleetSettings): string {
  const shared = { ...settings, instance: undefined, listen: undefined, processor: undefined };
  return createHash('sha256').update(JSON.stringify(shared)).digest('hex').slice(0, DIGEST_LENGTH);
}
