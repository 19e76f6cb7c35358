import type { GetHostEvidence } from '@baobabwell/maintenance';
import type { EntityKind, FleetView, Mutation, OperatorRole } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { createOk } from '@baobabwell/utils';

/** Types of values that a command option accepts. */
export enum OptionKind {
  Text = 'text',
  Integer = 'whole number',
  Number = 'number',
  /** `yes` or `no`. */
  Flag = 'yes or no',
  /** A duration such as `30d`, in milliseconds. */
  Duration = 'duration',
  List = 'list',
}

/** The parsed value of an option. */
export type OptionValue = string | number | boolean | readonly string[];

/** One positional argument of a command. */
export type CommandParameter = {
  readonly name: string;
  /** Kind of entity that the argument names, or `null`. */
  readonly kind: EntityKind | null;
  /** Whether the argument names an entity to create; otherwise an entity of `kind` must exist. */
  readonly isNew?: boolean;
};

/** One option of a command. */
export type CommandOptionSpec = {
  readonly name: string;
  readonly kind: OptionKind;
  /** The allowed values; any value of the type is allowed when this is omitted. */
  readonly allowed?: readonly string[];
  /** Kind of the entity that the value must identify. */
  readonly references?: EntityKind;
  readonly isRequired?: boolean;
};

/** The arguments and options of a command, checked against its parameters and option specs. */
export type CommandInput = {
  readonly values: readonly string[];
  readonly options: ReadonlyMap<string, OptionValue>;
};

/** Codes of refusals. */
export type RefusalCode =
  'unknown-command' | 'bad-argument' | 'not-found' | 'conflict' | 'not-allowed' | 'role';

/** Why a command is rejected for the current state of the fleet. */
export type Refusal = {
  readonly code: RefusalCode;
  readonly message: string;
};

/** The mutations that a command makes, and the notes for its operator. */
export type Decision = {
  readonly mutations: readonly Mutation[];
  /** Lines that are shown to the operator; may contain a secret that is shown only once. */
  readonly notes: readonly string[];
};

/** The view, time and request data that a command decides on. */
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

  /** The lowest role that may run the command. */
  abstract readonly role: OperatorRole;

  /** The arguments, in order. */
  abstract readonly parameters: readonly CommandParameter[];

  readonly options: readonly CommandOptionSpec[] = [];

  /** Decides the mutations from the newest view; called again if another change is committed first. */
  abstract decide(input: CommandInput, context: CommandContext): Result<Decision, Refusal>;
}

/** A command that returns rows and changes nothing. */
export abstract class OperatorReport extends OperatorCommand {
  abstract readonly columns: readonly string[];

  /** Lists the rows of the report. */
  abstract listRows(
    input: CommandInput,
    context: CommandContext,
  ): Result<readonly QueryRow[], Refusal>;

  override decide(): Result<Decision, Refusal> {
    return createOk({ mutations: [], notes: [] });
  }
}

/** A cell of a query result. */
export type QueryCell = string | number | boolean | null;

/** A row of a query result. */
export type QueryRow = Readonly<Record<string, QueryCell>>;

/** The columns, argument and start version that a query requests from a source. */
export type QueryRequest = {
  /** Columns that the query shows, compares or sorts by. */
  readonly columns: ReadonlySet<string>;
  readonly argument: string | null;
  readonly since: number | null;
};

/** Why a source cannot return rows. */
export type QueryRefusal = { readonly code: string; readonly message: string };

/** A source of rows for queries. */
export abstract class QuerySource {
  abstract readonly name: string;

  abstract readonly columns: readonly string[];

  /** The columns that are shown when a query names none. */
  get defaultColumns(): readonly string[] {
    return this.columns;
  }

  /** Name of the argument that the source requires, or `null` if it takes none. */
  readonly argumentName: string | null = null;

  /** Lists all rows. */
  abstract listRows(request: QueryRequest): Promise<Result<readonly QueryRow[], QueryRefusal>>;
}
