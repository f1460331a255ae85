import { startFleet, type Fleet, type FleetPlan } from '../harness/fleet.js';
import { submitConfiguration } from '../harness/operator.js';

const ATTEMPTS = 3;
const PORT_TAKEN = 'EADDRINUSE';

/**
 * Starts a fleet and submits its configuration. A start is repeated when another program of the
 * host took a port that was reserved; nothing has been measured by then.
 */
export async function startConfigured(plan: FleetPlan): Promise<Fleet> {
  for (let attempt = 1; ; attempt += 1) {
    try {
      const fleet = await startFleet(plan);
      await submitConfiguration(fleet);
      return fleet;
    } catch (cause) {
      if (attempt === ATTEMPTS || !String(cause).includes(PORT_TAKEN)) throw cause;
    }
  }
}
