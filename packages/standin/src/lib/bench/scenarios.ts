import { crash, freeze, zone } from './loss-scenarios.js';
import { overhead } from './overhead.js';
import { routerRoll } from './router-roll.js';
import type { Scenario } from './scenario.js';
import { slopes } from './slopes.js';
import { storeOutage } from './store-outage.js';

/** All benchmark scenarios. */
export const SCENARIOS: readonly Scenario[] = [
  slopes,
  overhead,
  routerRoll,
  storeOutage,
  crash,
  freeze,
  zone,
];
