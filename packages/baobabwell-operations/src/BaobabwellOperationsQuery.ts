import type { QueryCell, QueryRow } from './BaobabwellOperations';
import type { Condition, QueryOrder, QueryStatement } from '@baobabwell/language';

import { Comparison } from '@baobabwell/language';

function formatCell(cell: QueryCell | undefined): string {
  return cell === null || cell === undefined ? '' : String(cell);
}

function compareCells(a: QueryCell | undefined, b: QueryCell | undefined): number {
  const [left, right] = [formatCell(a), formatCell(b)];
  const [leftNumber, rightNumber] = [Number(left), Number(right)];
  const isNumeric = left !== '' && right !== '' && !Number.isNaN(leftNumber + rightNumber);
  if (isNumeric) {
    return leftNumber - rightNumber;
  }
  if (left === right) {
    return 0;
  }
  return left < right ? -1 : 1;
}

function buildLikePattern(pattern: string): RegExp {
  const parts = pattern.split('*').map((part) => part.replace(/[$()*+.?[\\\]^{|}]/g, '\\$&'));
  return new RegExp(`^${parts.join('.*')}$`);
}

function matchesCondition(row: QueryRow, { column, comparison, values }: Condition): boolean {
  const cell = row[column.text];
  const text = formatCell(cell);
  const first = values[0]?.text ?? '';
  switch (comparison) {
    case Comparison.Equal:
      return compareCells(cell, first) === 0;
    case Comparison.NotEqual:
      return compareCells(cell, first) !== 0;
    case Comparison.Less:
      return text !== '' && compareCells(cell, first) < 0;
    case Comparison.Greater:
      return text !== '' && compareCells(cell, first) > 0;
    case Comparison.In:
      return values.some((value) => compareCells(cell, value.text) === 0);
    case Comparison.Like:
      return buildLikePattern(first).test(text);
  }
}

function compareRows(a: QueryRow, b: QueryRow, order: readonly QueryOrder[]): number {
  for (const { column, isDescending } of order) {
    const compared = compareCells(a[column.text], b[column.text]);
    if (compared !== 0) {
      return isDescending ? -compared : compared;
    }
  }
  return 0;
}

/** Filters, sorts and limits rows, and selects the columns to show. */
export function applyQuery(
  rows: readonly QueryRow[],
  query: QueryStatement,
  columns: readonly string[],
): readonly QueryRow[] {
  return rows
    .filter((row) => query.conditions.every((condition) => matchesCondition(row, condition)))
    .toSorted((a, b) => compareRows(a, b, query.order))
    .slice(0, query.limit ?? undefined)
    .map((row) => Object.fromEntries(columns.map((column) => [column, row[column] ?? null])));
}
