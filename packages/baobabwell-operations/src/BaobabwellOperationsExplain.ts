import type { Decision, OperatorCommand, QueryRow, Refusal } from './BaobabwellOperations';
import type { FleetView, Mutation } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { formatUsage } from './BaobabwellOperationsInput';

const HIDDEN = '(hidden)';
const SECRET_FIELDS: ReadonlySet<string> = new Set(['digest']);

/** Columns of a dry run's result. */
export const DRY_RUN_COLUMNS = ['kind', 'name', 'field', 'before', 'after'] as const;

/** Column of an explanation's result. */
export const EXPLAIN_COLUMNS = ['line'] as const;

function formatField(field: string, value: unknown): string | null {
  if (value === undefined || value === null) {
    return null;
  }
  if (SECRET_FIELDS.has(field)) {
    return HIDDEN;
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function listFieldRows(view: FleetView, { kind, id, value }: Mutation): readonly QueryRow[] {
  const before = view.get(kind, id) as unknown as Readonly<Record<string, unknown>> | null;
  const after = value as unknown as Readonly<Record<string, unknown>> | null;
  const fields = new Set([...Object.keys(before ?? {}), ...Object.keys(after ?? {})]);
  return [...fields]
    .map((field) => ({
      kind,
      name: id,
      field,
      before: formatField(field, before?.[field]),
      after: formatField(field, after?.[field]),
    }))
    .filter((row) => row.before !== row.after);
}

/** Lists the fields that mutations would change, with the values before and after. */
export function listDryRunRows(
  view: FleetView,
  mutations: readonly Mutation[],
): readonly QueryRow[] {
  return mutations.flatMap((mutation) => listFieldRows(view, mutation));
}

function formatMutation(view: FleetView, { kind, id, value }: Mutation): string {
  if (value === null) {
    return `would remove ${kind} ${id}`;
  }
  const isNew = view.get(kind, id) === null;
  const state = (value as { readonly state?: string }).state;
  const before = (view.get(kind, id) as { readonly state?: string } | null)?.state;
  const states = state === undefined || state === before ? '' : `: ${before ?? '-'} to ${state}`;
  return `would ${isNew ? 'create' : 'change'} ${kind} ${id}${states}`;
}

/** Describes a command and the effect that it would have on the current fleet. */
export function listExplanationLines(
  command: OperatorCommand,
  view: FleetView,
  decision: Result<Decision, Refusal>,
): readonly string[] {
  const outcome = decision.ok
    ? decision.value.mutations.map((mutation) => formatMutation(view, mutation))
    : [`would be refused now (${decision.error.code}): ${decision.error.message}`];
  return [
    command.summary,
    `usage: ${formatUsage(command)}`,
    `needs the role ${command.role}`,
    'on the current fleet:',
    ...outcome,
  ];
}

/** Formats the entities that a change wrote, with a `-` before those that it removed. */
export function formatTouchedEntities(mutations: readonly Mutation[]): string {
  return mutations.map(({ kind, id, value }) => `${value ? '' : '-'}${kind}/${id}`).join(' ');
}
