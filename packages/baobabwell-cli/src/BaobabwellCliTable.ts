/** Formatting of text tables with aligned columns. */
const COLUMN_GAP = '  ';
const NO_VALUE = '-';
const MAX_CELL_CHARACTERS = 60;

/** A value in a table. */
export type Cell = string | number | boolean | null | undefined;

function formatCell(value: Cell): string {
  const text = String(value ?? NO_VALUE);
  return text.length > MAX_CELL_CHARACTERS ? `${text.slice(0, MAX_CELL_CHARACTERS - 1)}…` : text;
}

/** Formats rows with aligned columns and truncates long cells; JSON output has the full values. */
export function formatTable(
  columns: readonly string[],
  rows: readonly Readonly<Record<string, Cell>>[],
): string {
  const lines = [columns, ...rows.map((row) => columns.map((name) => formatCell(row[name])))];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((line) => (line[index] ?? '').length)),
  );
  return lines
    .map((line) => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(COLUMN_GAP))
    .map((line) => line.trimEnd())
    .join('\n');
}
