import type { QueryRow } from './BaobabwellOperations';
import type { SyntaxFinding } from '@baobabwell/language';
import type { ChangeProgress } from '@baobabwell/view';

/** The reply to a statement of an operator. */
export type OperatorReply =
  | {
      readonly kind: 'rows';
      readonly columns: readonly string[];
      readonly rows: readonly QueryRow[];
      /** Version of the view when the statement was run. */
      readonly version: number;
    }
  | {
      readonly kind: 'changed';
      readonly version: number;
      readonly transactionId: string;
      readonly notes: readonly string[];
      /** The stage of the change's distribution, and the members that have not acknowledged it. */
      readonly progress: ChangeProgress;
    }
  | {
      readonly kind: 'refused';
      readonly code: string;
      readonly message: string;
      /** Column of the first error in the text, counted from one, or `null`. */
      readonly column: number | null;
      /** All errors in the text, ordered by column. */
      readonly findings?: readonly SyntaxFinding[];
    }
  | { readonly kind: 'unavailable'; readonly cause: string }
  | { readonly kind: 'unknown'; readonly transactionId: string };

/** Builds a refusal with a single error. */
export function buildRefusal(
  code: string,
  message: string,
  column: number | null = null,
): OperatorReply {
  return { kind: 'refused', code, message, column };
}

/** Builds a refusal that lists all findings, ordered by column. */
export function buildFindingsRefusal(
  code: string,
  findings: readonly SyntaxFinding[],
): OperatorReply {
  const ordered = findings.toSorted((a, b) => a.column - b.column);
  const message = ordered.map(({ column, problem }) => `column ${column}: ${problem}`).join('\n');
  return { kind: 'refused', code, message, column: ordered[0]?.column ?? null, findings: ordered };
}
