import type { Mutation, FleetView } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

/** Why a command cannot be carried out on the fleet as it is. */
export type Refusal = {
  readonly code: 'unknown-command' | 'bad-argument' | 'not-found' | 'conflict' | 'not-allowed';
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
};

/** One command of the operators' language. */
export abstract class OperatorCommand {
  /** The words that name the command, such as `drain host`. */
  abstract readonly name: string;

  /** Names of the arguments, in order. */
  abstract readonly parameters: readonly string[];

  /** Decides the change from the newest view; may be called several times. */
  abstract decide(values: readonly string[], context: CommandContext): Result<Decision, Refusal>;
}

/** A row of the answer to a query. */
export type QueryRow = Readonly<Record<string, string | number | boolean | null>>;

/** A source of rows for queries. */
export abstract class QuerySource {
  abstract readonly name: string;

  abstract readonly columns: readonly string[];

  /** Lists all rows. */
  abstract listRows(): Promise<readonly QueryRow[]>;
}
