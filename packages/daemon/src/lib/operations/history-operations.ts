import { err, ok } from 'neverthrow';

import { OperatorError, type OperatorOperations } from '../operators/index.js';
import type { RouterNode } from '../router-node.js';

type HistoryOperations = Pick<
  OperatorOperations,
  'events' | 'listQuarantine' | 'releaseQuarantine' | 'burnReport'
>;

/** Creates the operations for events, the quarantine and the error budget burn report. */
export function createHistoryOperations(node: RouterNode): HistoryOperations {
  return {
    events({ since, kind }) {
      const all = node.journal.events();
      const events = all.filter(
        (it) => it.atMs >= since && (kind === undefined || it.kind === kind),
      );
      return Promise.resolve(
        ok({ events, truncated: node.journal.isTruncated() && (all[0]?.atMs ?? 0) > since }),
      );
    },
    listQuarantine() {
      const entries = node.quarantine.list().map(({ service, fingerprint, expiresAtMs }) => ({
        service,
        fingerprint,
        expiresAtMs,
        reason: 'two backend servers were lost while they ran it',
      }));
      return Promise.resolve(ok({ entries }));
    },
    async releaseQuarantine({ service, fingerprint }) {
      const released = await node.quarantine.release(service, fingerprint);
      if (released) return ok({ released });
      return err(new OperatorError('notFound', `${service} has no such quarantined request`));
    },
    burnReport: () => Promise.resolve(ok(node.burn.report(node.map.services()))),
  };
}
