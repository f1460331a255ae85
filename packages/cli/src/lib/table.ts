const GAP = '  ';

/** Value of one cell; `null` and empty text are shown as a hyphen. */
export type Cell = string | number | boolean | null;

function textOf(cell: Cell): string {
  if (cell === null || cell === '') return '-';
  if (typeof cell === 'boolean') return cell ? 'yes' : 'no';
  return String(cell);
}

/** Renders a table with aligned columns. @internal */
export function formatTable(header: readonly string[], rows: readonly (readonly Cell[])[]): string {
  const lines = [header, ...rows.map((row) => row.map(textOf))];
  const widths = header.map((_, column) =>
    Math.max(...lines.map((line) => line[column]?.length ?? 0)),
  );
  const format = (line: readonly string[]) =>
    line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(GAP);
  return lines.map((line) => format(line).trimEnd()).join('\n');
}

/** Renders names and values, one pair per line. @internal */
export function formatFields(fields: readonly (readonly [string, Cell])[]): string {
  const width = Math.max(...fields.map(([name]) => name.length));
  return fields.map(([name, cell]) => `${name.padEnd(width)}${GAP}${textOf(cell)}`).join('\n');
}
