import { startFleet, type Fleet, type FleetPlan } from '../harness/fleet.js';
import { submitConfiguration } from '../harness/operator-tool.js';

const MAX_ATTEMPTS = 3;
const PORT_IN_USE = 'EADDRINUSE';

/**
 * Starts a fleet and submits its configuration. If another program on the host has taken a reserved
 * port, the start is retried, since nothing has been measured yet.
 */
export async function startConfigured(plan: FleetPlan): Promise<Fleet> {
  for (let attempt = 1; ; attempt += 1) {
    try {
      const fleet = await startFleet(plan);
      await submitConfiguration(fleet);
      return fleet;
    } catch (cause) {
      if (attempt === MAX_ATTEMPTS || !String(cause).includes(PORT_IN_USE)) throw cause;
    }
  }
}
