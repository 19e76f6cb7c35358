import type { GetHostEvidence } from '@baobabwell/maintenance';
import type { EntityKind, FleetView, Mutation, OperatorRole } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { createOk } from '@baobabwell/utils';

/** Kinds of value that an option of a command takes. */
export enum OptionKind {
  Text = 'text',
  /** A whole number. */
  Whole = 'whole number',
  Number = 'number',
  /** `yes` or `no`. */
  Flag = 'yes or no',
  /** A duration such as `30d`, in milliseconds. */
  Duration = 'duration',
  List = 'list',
}

/** A value of an option. */
export type OptionValue = string | number | boolean | readonly string[];

/** One positional argument of a command. */
export type CommandParameter = {
  readonly name: string;
  /** Kind of entity that the argument names, or `null`. */
  readonly kind: EntityKind | null;
  /** Whether the entity must exist, must not, or need not. */
  readonly isNew?: boolean;
};

/** One option of a command. */
export type CommandOptionSpec = {
  readonly name: string;
  readonly kind: OptionKind;
  /** The only values allowed, when there are only some. */
  readonly allowed?: readonly string[];
  /** Kind of entity that the value names. */
  readonly references?: EntityKind;
  readonly isRequired?: boolean;
};

/** What an operator gave to a command, checked against its parameters and options. */
export type CommandInput = {
  readonly values: readonly string[];
  readonly options: ReadonlyMap<string, OptionValue>;
};

/** Codes of refusals. */
export type RefusalCode =
  'unknown-command' | 'bad-argument' | 'not-found' | 'conflict' | 'not-allowed' | 'role';

/** Why a command cannot be carried out on the fleet as it is. */
export type Refusal = {
  readonly code: RefusalCode;
  readonly message: string;
};

/** What a command decided. */
export type Decision = {
  readonly mutations: readonly Mutation[];
  /** What the operator is told, line by line; may contain a secret that is shown once. */
  readonly notes: readonly string[];
};

/** The context in which a command decides. */
export type CommandContext = {
  readonly view: FleetView;
  readonly wallTime: number;
  readonly reason: string;
  readonly operator: string;
  readonly getEvidence: GetHostEvidence;
};

/** One command of the operators' language. */
export abstract class OperatorCommand {
  /** The words that name the command, such as `drain host`. */
  abstract readonly name: string;

  /** What the command does, in one sentence. */
  abstract readonly summary: string;

  /** Least role that may give the command. */
  abstract readonly role: OperatorRole;

  /** The arguments, in order. */
  abstract readonly parameters: readonly CommandParameter[];

  readonly options: readonly CommandOptionSpec[] = [];

  /** Decides the change from the newest view; may be called several times. */
  abstract decide(input: CommandInput, context: CommandContext): Result<Decision, Refusal>;
}

/** A command that answers with rows and changes nothing. */
export abstract class OperatorReport extends OperatorCommand {
  abstract readonly columns: readonly string[];

  /** Lists the rows of the answer. */
  abstract listRows(
    input: CommandInput,
    context: CommandContext,
  ): Result<readonly QueryRow[], Refusal>;

  override decide(): Result<Decision, Refusal> {
    return createOk({ mutations: [], notes: [] });
  }
}

/** A cell of the answer to a query. */
export type QueryCell = string | number | boolean | null;

/** A row of the answer to a query. */
export type QueryRow = Readonly<Record<string, QueryCell>>;

/** What a source is asked for. */
export type QueryRequest = {
  /** Columns that are shown, compared or sorted by. */
  readonly columns: ReadonlySet<string>;
  readonly argument: string | null;
  readonly since: number | null;
};

/** Why a source cannot answer. */
export type QueryRefusal = { readonly code: string; readonly message: string };

/** A source of rows for queries. */
export abstract class QuerySource {
  abstract readonly name: string;

  abstract readonly columns: readonly string[];

  /** Columns shown when a query names none. */
  get shownColumns(): readonly string[] {
    return this.columns;
  }

  /** Name of the argument that the source needs, or `null`. */
  readonly parameter: string | null = null;

  /** Lists all rows. */
  abstract listRows(request: QueryRequest): Promise<Result<readonly QueryRow[], QueryRefusal>>;
}
