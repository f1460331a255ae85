import { crashPayment, crashPaymentRepeated, crashRequest } from './crash-cases.js';
import { drainKeeperPaused, ownerKilledKeeperPaused } from './double-fault-cases.js';
import type { FaultCase } from './fault-case.js';
import { keeperFrozen, keeperKilled } from './keeper-cases.js';
import { drain, operatorsRace } from './operator-cases.js';
import { ownerFrozen, ownerKilled, ownerKilledStoreDown, zoneKilled } from './owner-cases.js';
import { routerPartitioned } from './partition-cases.js';
import { payments } from './payment-cases.js';
import { tableRestored } from './restored-table-cases.js';
import { storeDown } from './store-cases.js';

/** All fault cases, in the order in which they run. */
export const FAULT_CASES: readonly FaultCase[] = [
  ownerKilled,
  ownerKilledStoreDown,
  ownerFrozen,
  keeperKilled,
  keeperFrozen,
  zoneKilled,
  drain,
  operatorsRace,
  routerPartitioned,
  ownerKilledKeeperPaused,
  drainKeeperPaused,
  storeDown,
  tableRestored,
  payments,
  crashRequest,
  crashPayment,
  crashPaymentRepeated,
];
