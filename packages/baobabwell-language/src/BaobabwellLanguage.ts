/** Operators that compare a column with values in a query. */
export enum Comparison {
  Equal = '=',
  NotEqual = '!=',
  Less = '<',
  Greater = '>',
  /** Equals one of several values. */
  In = 'in',
  /** Matches a pattern in which `*` stands for any text. */
  Like = 'like',
}

/** Ways to process a command. */
export enum CommandMode {
  Run = 'run',
  /** Describes the command, its effect and what would block it, without changing anything. */
  Explain = 'explain',
  /** Lists the changes that the command would make now, without making them. */
  DryRun = 'dry-run',
}

/** A piece of a statement and its position. */
export type LocatedText = {
  readonly text: string;
  /** Counted from one. */
  readonly column: number;
};

/** One condition of a query. */
export type Condition = {
  readonly column: LocatedText;
  readonly comparison: Comparison;
  /** One value, or several for {@link Comparison.In}. */
  readonly values: readonly LocatedText[];
};

/** A column by which the rows of a query are sorted. */
export type QueryOrder = {
  readonly column: LocatedText;
  readonly isDescending: boolean;
};

/** A query about the fleet. */
export type QueryStatement = {
  readonly kind: 'query';
  readonly source: LocatedText;
  /** Argument of the source, such as the identifier of a transaction, or `null`. */
  readonly argument: LocatedText | null;
  /** Only changes after this version are listed; `null` lists all. */
  readonly since: number | null;
  readonly conditions: readonly Condition[];
  readonly order: readonly QueryOrder[];
  /** Columns to show; if empty, the source's default columns are shown. */
  readonly columns: readonly LocatedText[];
  /** Maximum number of rows to show, or `null` for all. */
  readonly limit: number | null;
};

/** A named option of a command, such as `limit = 40`. */
export type CommandOption = {
  readonly name: LocatedText;
  readonly values: readonly LocatedText[];
};

/** A command that changes the fleet or reports on it. */
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
  /** The view version for which the command is valid, or `null` for any. */
  readonly expectedVersion: number | null;
};

/** A parsed statement. */
export type Statement = QueryStatement | CommandStatement;

/** An error in a statement and its position. */
export type SyntaxFinding = {
  /** Counted from one. */
  readonly column: number;
  readonly problem: string;
  /** Names similar to a mistyped one, most similar first. */
  readonly suggestions: readonly string[];
};
