import type {
  Decision,
  OperatorCommand,
  QueryRow,
  QuerySource,
  Refusal,
} from './BaobabwellOperations';
import type { Undo } from '@baobabwell/kernel';
import type { CommandStatement, QueryStatement } from '@baobabwell/language';
import type { FleetView } from '@baobabwell/model';
import type { Clock, Result } from '@baobabwell/utils';
import type { ChangeProgress, ViewWriter } from '@baobabwell/view';

import { Comparison, parseStatement } from '@baobabwell/language';
import { createError, createOk } from '@baobabwell/utils';

/** What an operator is answered. */
export type OperatorReply =
  | {
      readonly kind: 'rows';
      readonly columns: readonly string[];
      readonly rows: readonly QueryRow[];
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
    }
  | { readonly kind: 'unavailable'; readonly cause: string }
  | { readonly kind: 'unknown'; readonly transactionId: string };

/** What the service works with. */
export type OperatorServiceParts = {
  readonly writer: ViewWriter;
  readonly clock: Clock;
};

function createRefused(code: string, message: string, column: number | null): OperatorReply {
  return { kind: 'refused', code, message, column };
}

function matchesConditions(row: QueryRow, { conditions }: QueryStatement): boolean {
  return conditions.every(({ column, comparison, value }) => {
    const isEqual = String(row[column] ?? '') === value;
    return comparison === Comparison.Equal ? isEqual : !isEqual;
  });
}

function checkVersion(view: FleetView, expected: number | null): Result<null, Refusal> {
  return expected === null || view.version === expected
    ? createOk(null)
    : createError({
        code: 'conflict',
        message: `the fleet is at version ${view.version}, not ${expected}`,
      });
}

/** Answers queries and carries out commands of operators. */
export class OperatorService {
  readonly #parts: OperatorServiceParts;

  readonly #commands = new Map<string, OperatorCommand>();

  readonly #sources = new Map<string, QuerySource>();

  constructor(parts: OperatorServiceParts) {
    this.#parts = parts;
  }

  /** Adds a command to the language. */
  registerCommand(command: OperatorCommand): Undo {
    this.#commands.set(command.name, command);
    return () => {
      this.#commands.delete(command.name);
    };
  }

  /** Adds a source of rows to the language. */
  registerSource(source: QuerySource): Undo {
    this.#sources.set(source.name, source);
    return () => {
      this.#sources.delete(source.name);
    };
  }

  /** Runs what an operator typed. Never rejects. */
  async run(text: string, operator: string): Promise<OperatorReply> {
    const statement = parseStatement(text);
    if (!statement.ok) {
      const first = statement.error[0];
      return createRefused('syntax', first?.problem ?? 'not a statement', first?.column ?? null);
    }
    return statement.value.kind === 'query'
      ? this.#runQuery(statement.value)
      : this.#runCommand(statement.value, text, operator);
  }

  async #runQuery(query: QueryStatement): Promise<OperatorReply> {
    const source = this.#sources.get(query.source);
    if (source === undefined) {
      const known = [...this.#sources.keys()].toSorted().join(', ');
      return createRefused('unknown-source', `"${query.source}" is none of ${known}`, 1);
    }
    const named = [...query.columns, ...query.conditions.map(({ column }) => column)];
    const unknown = named.find((column) => !source.columns.includes(column));
    if (unknown !== undefined) {
      const known = source.columns.join(', ');
      return createRefused('unknown-column', `"${unknown}" is none of ${known}`, null);
    }
    const columns = query.columns.length > 0 ? query.columns : source.columns;
    const rows = await source.listRows();
    return {
      kind: 'rows',
      columns,
      rows: rows
        .filter((row) => matchesConditions(row, query))
        .map((row) => Object.fromEntries(columns.map((column) => [column, row[column] ?? null]))),
    };
  }

  async #runCommand(
    statement: CommandStatement,
    text: string,
    operator: string,
  ): Promise<OperatorReply> {
    const command = this.#commands.get(statement.name);
    if (command === undefined) {
      const known = [...this.#commands.keys()].toSorted().join(', ');
      return createRefused('unknown-command', `"${statement.name}" is none of ${known}`, 1);
    }
    if (statement.arguments.length !== command.parameters.length) {
      const usage = `${command.name} ${command.parameters.join(' ').toUpperCase()}`;
      return createRefused('bad-argument', `usage: ${usage}`, null);
    }
    return this.#writeChange(command, statement, text, operator);
  }

  async #writeChange(
    command: OperatorCommand,
    statement: CommandStatement,
    text: string,
    operator: string,
  ): Promise<OperatorReply> {
    const reason = statement.reason ?? '';
    let notes: readonly string[] = [];
    const written = await this.#parts.writer.write<Refusal>({
      author: operator,
      command: text,
      reason,
      build: (view) => {
        const version = checkVersion(view, statement.expectedVersion);
        const decision: Result<Decision, Refusal> = version.ok
          ? command.decide(statement.arguments, {
              view,
              wallTime: this.#parts.clock.getWallTime(),
              reason,
            })
          : version;
        if (!decision.ok) {
          return decision;
        }
        notes = decision.value.notes;
        return createOk(decision.value.mutations);
      },
    });
    if (written.ok) {
      const { version, transactionId } = written.value;
      const progress = await this.#parts.writer.waitAccepted(version);
      return { kind: 'changed', version, transactionId, notes, progress };
    }
    return written.error.kind === 'refused'
      ? createRefused(written.error.refusal.code, written.error.refusal.message, null)
      : written.error;
  }
}
