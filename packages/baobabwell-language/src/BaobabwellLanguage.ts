/** How a column is compared in a query. */
export enum Comparison {
  Equal = '=',
  NotEqual = '!=',
  Less = '<',
  Greater = '>',
  /** Equal to one of several values. */
  In = 'in',
  /** Matches a pattern in which `*` stands for any text. */
  Like = 'like',
}

/** What is to be done with a command. */
export enum CommandMode {
  Run = 'run',
  /** Tells what the command does and what stands in its way, without changing anything. */
  Explain = 'explain',
  /** Shows the changes that the command would make now, without making them. */
  DryRun = 'dry-run',
}

/** A part of a statement and where it stands. */
export type LocatedText = {
  readonly text: string;
  /** Counts from one. */
  readonly column: number;
};

/** One condition of a query. */
export type Condition = {
  readonly column: LocatedText;
  readonly comparison: Comparison;
  /** One value, or several for {@link Comparison.In}. */
  readonly values: readonly LocatedText[];
};

/** The order of the rows of a query. */
export type QueryOrder = {
  readonly column: LocatedText;
  readonly isDescending: boolean;
};

/** A question about the fleet. */
export type QueryStatement = {
  readonly kind: 'query';
  readonly source: LocatedText;
  /** What the source is asked about, such as the identifier of a transaction, or `null`. */
  readonly argument: LocatedText | null;
  /** Version after which changes are wanted, or `null`. */
  readonly since: number | null;
  readonly conditions: readonly Condition[];
  readonly order: readonly QueryOrder[];
  /** Columns to show; empty shows all. */
  readonly columns: readonly LocatedText[];
  /** Most rows to show, or `null` for all. */
  readonly limit: number | null;
};

/** A named option of a command, such as `limit = 40`. */
export type CommandOption = {
  readonly name: LocatedText;
  readonly values: readonly LocatedText[];
};

/** An instruction that changes the fleet. */
export type CommandStatement = {
  readonly kind: 'command';
  readonly mode: CommandMode;
  /** The words of the command without its arguments, such as `drain host`. */
  readonly name: LocatedText;
  /** The second word of the name. */
  readonly object: LocatedText;
  readonly arguments: readonly LocatedText[];
  readonly options: readonly CommandOption[];
  readonly reason: string | null;
  /** Version that the fleet must still have, or `null`. */
  readonly expectedVersion: number | null;
};

/** Anything an operator may type. */
export type Statement = QueryStatement | CommandStatement;

/** What is wrong with a statement, and where. */
export type SyntaxFinding = {
  /** Counts from one. */
  readonly column: number;
  readonly problem: string;
  /** Names that may have been meant, nearest first. */
  readonly suggestions: readonly string[];
};
