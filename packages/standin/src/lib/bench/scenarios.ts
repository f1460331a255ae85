import { overhead } from './overhead.js';
import type { Scenario } from './scenario.js';
import { slopes } from './slopes.js';

/** All scenarios of the bench. */
export const SCENARIOS: readonly Scenario[] = [slopes, overhead];
