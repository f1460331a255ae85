import type { OperatorOperations } from '../operators/index.js';
import type { ReadinessCheck } from '../readiness.js';
import type { RouterNode } from '../router-node.js';
import { createConfigOperations } from './config-operations.js';
import { createHistoryOperations } from './history-operations.js';
import { createOwnershipOperations } from './ownership-operations.js';
import { createStatusOperation } from './status-operation.js';

/** Creates the operations of the operators' API. */
export function createOperations(node: RouterNode, readiness: ReadinessCheck): OperatorOperations {
  return {
    readiness: () => readiness.readiness(),
    status: createStatusOperation(node, readiness),
    ...createConfigOperations(node),
    ...createOwnershipOperations(node),
    ...createHistoryOperations(node),
  };
}
