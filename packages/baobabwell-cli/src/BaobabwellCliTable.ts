/** Tables with aligned columns. */
const COLUMN_GAP = '  ';
const NO_VALUE = '-';

/** A value of a table. */
export type Cell = string | number | boolean | null | undefined;

/** Formats rows under their columns. */
export function formatTable(
  columns: readonly string[],
  rows: readonly Readonly<Record<string, Cell>>[],
): string {
  const lines = [
    columns,
    ...rows.map((row) => columns.map((name) => String(row[name] ?? NO_VALUE))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((line) => (line[index] ?? '').length)),
  );
  return lines
    .map((line) => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(COLUMN_GAP))
    .map((line) => line.trimEnd())
    .join('\n');
}
