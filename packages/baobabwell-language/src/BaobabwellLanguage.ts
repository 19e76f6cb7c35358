/** How a column is compared in a query. */
export enum Comparison {
  Equal = '=',
  NotEqual = '!=',
}

/** One condition of a query. */
export type Condition = {
  readonly column: string;
  readonly comparison: Comparison;
  readonly value: string;
};

/** A question about the fleet. */
export type QueryStatement = {
  readonly kind: 'query';
  readonly source: string;
  readonly conditions: readonly Condition[];
  /** Columns to show; empty shows all. */
  readonly columns: readonly string[];
};

/** An instruction that changes the fleet. */
export type CommandStatement = {
  readonly kind: 'command';
  /** The words of the command without its arguments, such as `drain host`. */
  readonly name: string;
  readonly arguments: readonly string[];
  readonly reason: string | null;
  /** Version that the fleet must still have, or `null`. */
  readonly expectedVersion: number | null;
};

/** Anything an operator may type. */
export type Statement = QueryStatement | CommandStatement;

/** Why a text is not a statement. */
export type SyntaxFinding = {
  /** Counts from one. */
  readonly column: number;
  readonly problem: string;
};
