import { test } from 'node:test';

import type { RegressedRow } from '@boragepoint/ownership';
import { expect } from 'earl';

import { createMetrics } from '../lib/metrics.js';
import { createTableLossReport } from '../lib/table-losses.js';

const ROW: RegressedRow = {
  key: 'keeper/s1',
  kind: 'forgotten',
  knownVersion: 7,
  foundVersion: 4,
};

function createSetup() {
  const messages: string[] = [];
  const metrics = createMetrics();
  const journal = {
    add: (kind: string, _: object, text: string) => messages.push(`${kind}: ${text}`),
  };
  return { messages, metrics, report: createTableLossReport(journal, metrics) };
}

test('a row that went back is told once and counted at each read', async () => {
  const { messages, metrics, report } = createSetup();
  report.reportRows([ROW]);
  report.reportRows([ROW]);
  expect(messages).toEqual([
    'table: the table came back from an older copy: keeper/s1 has version 4, known is 7 (forgotten)',
  ]);
  const text = await metrics.registry.metrics();
  expect(text.includes('boragepoint_table_rows_regressed_total{kind="forgotten"} 2')).toEqual(true);
});

test('forgotten records are told when their number changes', () => {
  const { messages, report } = createSetup();
  report.reportRecords({ recordsRestored: 0, recordsForgotten: 0 });
  report.reportRecords({ recordsRestored: 3, recordsForgotten: 1 });
  report.reportRecords({ recordsRestored: 3, recordsForgotten: 1 });
  expect(messages).toEqual([
    'table: the table forgot records of requests: 3 written again, 1 taken by another run',
  ]);
});
