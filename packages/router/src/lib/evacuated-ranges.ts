import type { PlacementView, ServerDirectory } from '@boragepoint/placement';

import type { ServerEligibility } from './server-eligibility.js';

/** Counts the key ranges whose owners are in availability zones that are being evacuated. */
export function countEvacuatedRanges(
  { services }: PlacementView,
  directory: Pick<ServerDirectory, 'get'>,
  { isEvacuated }: Pick<ServerEligibility, 'isEvacuated'>,
): number {
  const ranges = [...services.values()].flat();
  return ranges.filter(({ owner }) => {
    const known = owner === undefined ? undefined : directory.get(owner);
    return known !== undefined && isEvacuated(known.entry);
  }).length;
}
