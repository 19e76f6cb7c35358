import type { QueryRow } from './BaobabwellOperations';
import type { SyntaxFinding } from '@baobabwell/language';
import type { ChangeProgress } from '@baobabwell/view';

/** What an operator is answered. */
export type OperatorReply =
  | {
      readonly kind: 'rows';
      readonly columns: readonly string[];
      readonly rows: readonly QueryRow[];
      /** Version of the view when the question was asked. */
      readonly version: number;
    }
  | {
      readonly kind: 'changed';
      readonly version: number;
      readonly transactionId: string;
      readonly notes: readonly string[];
      /** How far the change has come, and which members have not acknowledged it. */
      readonly progress: ChangeProgress;
    }
  | {
      readonly kind: 'refused';
      readonly code: string;
      readonly message: string;
      /** Column of the text at fault, counted from one, or `null`. */
      readonly column: number | null;
      /** Everything that is wrong with the text, in order of its place. */
      readonly findings?: readonly SyntaxFinding[];
    }
  | { readonly kind: 'unavailable'; readonly cause: string }
  | { readonly kind: 'unknown'; readonly transactionId: string };

/** Builds a refusal. */
export function buildRefused(
  code: string,
  message: string,
  column: number | null = null,
): OperatorReply {
  return { kind: 'refused', code, message, column };
}

/** Builds the refusal that reports findings together. */
export function buildRefusedFindings(
  code: string,
  findings: readonly SyntaxFinding[],
): OperatorReply {
  const ordered = findings.toSorted((a, b) => a.column - b.column);
  const message = ordered.map(({ column, problem }) => `column ${column}: ${problem}`).join('\n');
  return { kind: 'refused', code, message, column: ordered[0]?.column ?? null, findings: ordered };
}
