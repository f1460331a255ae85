import type { Row } from './scenario.js';

function formatLine(cells: readonly string[], widths: readonly number[]): string {
  return cells.map((cell, index) => cell.padStart(widths[index] ?? 0)).join('  ');
}

/** Formats rows as an aligned text table with the columns of the first row. */
export function formatTable(title: string, rows: readonly Row[]): string {
  const columns = Object.keys(rows[0] ?? {});
  const cells = rows.map((row) => columns.map((it) => String(row[it] ?? '')));
  const widths = columns.map((column, index) =>
    Math.max(column.length, ...cells.map((line) => line[index]?.length ?? 0)),
  );
  const lines = [columns, ...cells].map((line) => formatLine(line, widths));
  return [title, ...lines].join('\n');
}
