import type { AssignmentMap, OwnershipContext } from '@boragepoint/ownership';
import {
  type Clock,
  type LoadExchange,
  type OutlierDetector,
  createOutlierDetector,
} from '@boragepoint/routing';

/** Interval between updates of the outlier detectors. */
const UPDATE_INTERVAL_MS = 500;

/** Verdicts on backend servers, based on the measurements of all routers. */
export interface ServerVerdicts extends Disposable {
  verdict: OwnershipContext['serverVerdict'];
}

/** Creates the verdicts, one outlier detector per service, and starts their regular update. */
export function createServerVerdicts(
  clock: Clock,
  map: AssignmentMap,
  load: LoadExchange,
): ServerVerdicts {
  const detectors = new Map<string, OutlierDetector>();
  const timer = setInterval(updateDetectors, UPDATE_INTERVAL_MS);

  function detectorOf(service: string): OutlierDetector {
    const known = detectors.get(service) ?? createOutlierDetector({ clock });
    detectors.set(service, known);
    return known;
  }

  function updateDetectors(): void {
    for (const { name } of map.services()) detectorOf(name).update(load.servers(name));
  }

  return {
    verdict(service, server) {
      const verdict = detectorOf(service).stateOf(server);
      if (verdict === 'normal') return 'live';
      return verdict === 'probation' ? 'cold' : 'outlier';
    },
    [Symbol.dispose]() {
      clearInterval(timer);
    },
  };
}
