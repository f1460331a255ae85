import { err, ok } from 'neverthrow';

import { OperatorError, type OperatorOperations } from '../operators/index.js';
import type { RouterNode } from '../router-node.js';

type HistoryOperations = Pick<
  OperatorOperations,
  'events' | 'listQuarantine' | 'releaseQuarantine' | 'burnReport'
>;

/** Creates the operations on events, the quarantine and the report on burn. */
export function createHistoryOperations(node: RouterNode): HistoryOperations {
  return {
    events({ since, kind }) {
      const events = node.journal
        .events()
        .filter((it) => it.atMs >= since && (kind === undefined || it.kind === kind));
      return Promise.resolve(ok({ events: [...events] }));
    },
  };
}
