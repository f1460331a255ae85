import type { Journal, RegressedRow } from '@boragepoint/ownership';
import type { LedgerStats } from '@boragepoint/routing';

import type { Metrics } from './metrics.js';

/** Tells operators about a table that came back from an older copy. */
export interface TableLossReport {
  /** Reports rows that a read found older than known, or with another history. */
  reportRows(regressed: readonly RegressedRow[]): void;
  /** Reports records of non-idempotent requests that the table forgot since the last call. */
  reportRecords(stats: Pick<LedgerStats, 'recordsRestored' | 'recordsForgotten'>): void;
}

function describe({ key, kind, knownVersion, foundVersion }: RegressedRow): string {
  return `${key} has version ${foundVersion}, known is ${knownVersion} (${kind})`;
}

/** Creates a report to the journal and the metrics. Rows are told once for each pair of versions. */
export function createTableLossReport(
  journal: Pick<Journal, 'add'>,
  metrics: Pick<Metrics, 'regressedRows' | 'forgottenRecords'>,
): TableLossReport {
  const told = new Map<string, string>();
  let forgottenBefore = 0;
  let restoredBefore = 0;

  return {
    reportRows(regressed) {
      for (const row of regressed) {
        metrics.regressedRows.inc({ kind: row.kind });
        const description = describe(row);
        if (told.get(row.key) === description) continue;
        told.set(row.key, description);
        journal.add('table', {}, `the table came back from an older copy: ${description}`);
      }
    },
    reportRecords({ recordsRestored, recordsForgotten }) {
      metrics.forgottenRecords.set({ result: 'restored' }, recordsRestored);
      metrics.forgottenRecords.set({ result: 'run-again' }, recordsForgotten);
      if (recordsRestored === restoredBefore && recordsForgotten === forgottenBefore) return;
      const restored = recordsRestored - restoredBefore;
      const runAgain = recordsForgotten - forgottenBefore;
      restoredBefore = recordsRestored;
      forgottenBefore = recordsForgotten;
      const counts = `${restored} written again, ${runAgain} taken by another run`;
      journal.add('table', {}, `the table forgot records of requests: ${counts}`);
    },
  };
}
