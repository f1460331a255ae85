import { groupBy } from './group-by.js';
import type { TraceEvent } from './trace-event.js';
import type { TraceViolation } from './trace-violation.js';

/** Checks that no router returned to a lower configuration version. @internal */
export function checkConfig(events: readonly TraceEvent[]): TraceViolation[] {
  const configs = events.filter((it) => it.kind === 'config');
  return [...groupBy(configs, (it) => `${it.router}/${it.service}`)].flatMap(([name, ofRouter]) =>
    ofRouter.flatMap((later, index): TraceViolation[] => {
      const earlier = ofRouter[index - 1];
      if (earlier === undefined || earlier.version <= later.version) return [];
      const message = `${name} went back from version ${earlier.version} to ${later.version}`;
      return [{ rule: 'config-rises', at: later.at, message }];
    }),
  );
}
