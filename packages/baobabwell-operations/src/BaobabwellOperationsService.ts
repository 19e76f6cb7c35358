import type {
  CommandContext,
  CommandInput,
  Decision,
  OperatorCommand,
  QuerySource,
  Refusal,
} from './BaobabwellOperations';
import type { ChangeJournal } from './BaobabwellOperationsJournal';
import type { CommandRecords } from './BaobabwellOperationsRecords';
import type { OperatorReply } from './BaobabwellOperationsReply';
import type { Undo } from '@baobabwell/kernel';
import type { CommandStatement, Completion, QueryStatement } from '@baobabwell/language';
import type { GetHostEvidence } from '@baobabwell/maintenance';
import type { FleetView, Mutation } from '@baobabwell/model';
import type { Clock, Result } from '@baobabwell/utils';
import type { ViewStore, ViewWriter } from '@baobabwell/view';

import { randomUUID } from 'node:crypto';

import {
  CommandMode,
  formatSuggestions,
  listCompletions,
  listSimilarNames,
  parseStatement,
  VERBS,
} from '@baobabwell/language';
import { EntityKind, OperatorRole } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { OperatorReport } from './BaobabwellOperations';
import { FleetNameCatalog } from './BaobabwellOperationsCatalog';
import {
  DRY_RUN_COLUMNS,
  EXPLAIN_COLUMNS,
  listDryRunRows,
  listExplanationLines,
} from './BaobabwellOperationsExplain';
import { buildUnknownNameFinding, parseInput } from './BaobabwellOperationsInput';
import { listNewDanglingReferences } from './BaobabwellOperationsIntegrity';
import { applyQuery } from './BaobabwellOperationsQuery';
import { buildFindingsRefusal, buildRefusal } from './BaobabwellOperationsReply';

/** Dependencies of {@link OperatorService}. */
export type OperatorServiceDependencies = {
  readonly writer: ViewWriter;
  readonly store: ViewStore;
  readonly journal: ChangeJournal;
  readonly records: CommandRecords;
  readonly clock: Clock;
  readonly getEvidence: GetHostEvidence;
};

/** Options for running a statement. */
export type StatementOptions = {
  /**
   * The view version that the operator last saw, or `null`. The service refuses a command if one of
   * its entities was changed after that version.
   */
  readonly seenVersion?: number | null;
};

type ParsedCommand = {
  readonly command: OperatorCommand;
  readonly statement: CommandStatement;
  readonly input: CommandInput;
  readonly text: string;
  readonly operator: string;
};

const ROLE_RANKS: Readonly<Record<OperatorRole, number>> = {
  [OperatorRole.Viewer]: 0,
  [OperatorRole.Operator]: 1,
  [OperatorRole.Administrator]: 2,
};

const FIRST_WORD_PATTERN = /^\s*([^\s"=!<>,()]+)/;

function checkVersion(view: FleetView, expected: number | null): Refusal | null {
  return expected === null || view.version === expected
    ? null
    : {
        code: 'conflict',
        message: `the fleet is at version ${view.version}, not ${expected}`,
      };
}

function checkRole(view: FleetView, command: OperatorCommand, operator: string): Refusal | null {
  const role = view.get(EntityKind.Operator, operator)?.role;
  if (role !== undefined && ROLE_RANKS[role] >= ROLE_RANKS[command.role]) {
    return null;
  }
  const actualRole = role === undefined ? 'does not exist' : `has the role ${role}`;
  return {
    code: 'role',
    message: `operator ${operator} ${actualRole}; ${command.name} requires the role ${command.role}`,
  };
}

/** Runs the queries and commands of operators. */
export class OperatorService {
  readonly #dependencies: OperatorServiceDependencies;

  readonly #commands = new Map<string, OperatorCommand>();

  readonly #sources = new Map<string, QuerySource>();

  constructor(dependencies: OperatorServiceDependencies) {
    this.#dependencies = dependencies;
  }

  /** Registers a command of the operators' language. */
  registerCommand(command: OperatorCommand): Undo {
    this.#commands.set(command.name, command);
    return () => {
      this.#commands.delete(command.name);
    };
  }

  /** Registers a source that queries can read. */
  registerSource(source: QuerySource): Undo {
    this.#sources.set(source.name, source);
    return () => {
      this.#sources.delete(source.name);
    };
  }

  /** Lists the completions for a partial statement. */
  listCompletions(text: string): readonly Completion[] {
    const catalog = new FleetNameCatalog({
      commands: [...this.#commands.values()],
      sources: [...this.#sources.values()],
      view: this.#dependencies.store.get(),
    });
    return listCompletions(text, catalog);
  }

  /** Runs a statement. The promise never rejects: failures are replies. */
  async run(
    text: string,
    operator: string,
    options: StatementOptions = {},
  ): Promise<OperatorReply> {
    const statement = parseStatement(text);
    if (!statement.ok) {
      return this.#buildFirstWordRefusal(text) ?? buildFindingsRefusal('syntax', statement.error);
    }
    return statement.value.kind === 'query'
      ? this.#runQuery(statement.value)
      : this.#runCommand(statement.value, text, operator, options);
  }

  /** Reports only the first word if it is unknown, since further errors would follow from it. */
  #buildFirstWordRefusal(text: string): OperatorReply | null {
    const word = FIRST_WORD_PATTERN.exec(text)?.[1];
    const known: readonly string[] = [
      ...this.#sources.keys(),
      ...VERBS,
      ...Object.values(CommandMode),
    ];
    if (word === undefined || known.includes(word)) {
      return null;
    }
    const suggestions = listSimilarNames(word, known);
    const problem = `"${word}" is neither a command nor a source${formatSuggestions(suggestions)}`;
    const column = text.indexOf(word) + 1;
    return buildFindingsRefusal('unknown-word', [{ column, problem, suggestions }]);
  }

  async #runQuery(query: QueryStatement): Promise<OperatorReply> {
    const source = this.#sources.get(query.source.text);
    if (source === undefined) {
      const known = [...this.#sources.keys(), ...VERBS];
      return buildFindingsRefusal('unknown-source', [
        buildUnknownNameFinding('source', query.source, known),
      ]);
    }
    const named = [
      ...query.columns,
      ...query.conditions.map(({ column }) => column),
      ...query.order.map(({ column }) => column),
    ];
    const unknown = named.filter(({ text }) => !source.columns.includes(text));
    if (unknown.length > 0) {
      const findings = unknown.map((column) =>
        buildUnknownNameFinding(`column of ${source.name}`, column, source.columns),
      );
      return buildFindingsRefusal('unknown-column', findings);
    }
    if ((source.argumentName !== null) !== (query.argument !== null)) {
      const usage =
        source.argumentName === null ? 'takes no argument' : `needs a ${source.argumentName}`;
      const column = query.argument?.column ?? query.source.column;
      return buildRefusal('bad-argument', `${source.name} ${usage}`, column);
    }
    const shown = query.columns.map(({ text }) => text);
    const columns = shown.length > 0 ? shown : source.defaultColumns;
    const { version } = this.#dependencies.store.get();
    const rows = await source.listRows({
      columns: new Set([...columns, ...named.map(({ text }) => text)]),
      argument: query.argument?.text ?? null,
      since: query.since,
    });
    return rows.ok
      ? { kind: 'rows', columns, rows: applyQuery(rows.value, query, columns), version }
      : buildRefusal(rows.error.code, rows.error.message);
  }

  async #runCommand(
    statement: CommandStatement,
    text: string,
    operator: string,
    { seenVersion }: StatementOptions,
  ): Promise<OperatorReply> {
    const parsed = this.#parseCommand(statement, text, operator);
    const reply = parsed.ok
      ? await this.#runParsedCommand(parsed.value, seenVersion)
      : parsed.error;
    this.#recordFailure(reply, statement, text, operator);
    return reply;
  }

  async #runParsedCommand(
    parsed: ParsedCommand,
    seenVersion: number | null | undefined,
  ): Promise<OperatorReply> {
    switch (parsed.statement.mode) {
      case CommandMode.Explain:
        return this.#explain(parsed);
      case CommandMode.DryRun:
        return this.#dryRun(parsed);
      case CommandMode.Run:
        if (parsed.command instanceof OperatorReport) {
          return this.#runReport(parsed.command, parsed);
        }
        return this.#writeChange(parsed, seenVersion ?? this.#dependencies.store.get().version);
    }
  }

  #parseCommand(
    statement: CommandStatement,
    text: string,
    operator: string,
  ): Result<ParsedCommand, OperatorReply> {
    const view = this.#dependencies.store.get();
    const command = this.#commands.get(statement.name.text);
    if (command === undefined) {
      return createError(this.#buildUnknownCommand(statement));
    }
    const refusal = checkRole(view, command, operator);
    if (refusal !== null) {
      return createError(buildRefusal(refusal.code, refusal.message, statement.name.column));
    }
    const input = parseInput(command, statement, view);
    return input.ok
      ? createOk({ command, statement, input: input.value, text, operator })
      : createError(buildFindingsRefusal('bad-argument', input.error));
  }

  #buildUnknownCommand({ name, object }: CommandStatement): OperatorReply {
    const verb = name.text.split(' ')[0] ?? '';
    const objects = [...this.#commands.keys()]
      .filter((known) => known.startsWith(`${verb} `))
      .map((known) => known.slice(verb.length + 1));
    const suggestions = listSimilarNames(object.text, objects);
    const known = `${verb} takes ${objects.toSorted().join(', ')}`;
    const problem = `there is no command "${name.text}"; ${known}${formatSuggestions(suggestions)}`;
    return buildFindingsRefusal('unknown-command', [
      { column: object.column, problem, suggestions },
    ]);
  }

  #decide(parsed: ParsedCommand, view: FleetView): Result<Decision, Refusal> {
    const { command, statement, input, operator } = parsed;
    // The view, including the operator's role, may have changed since the command was parsed.
    const refusal =
      checkRole(view, command, operator) ?? checkVersion(view, statement.expectedVersion);
    if (refusal !== null) {
      return createError(refusal);
    }
    const decision = command.decide(input, this.#buildContext(parsed, view));
    if (!decision.ok) {
      return decision;
    }
    const findings = listNewDanglingReferences(view, decision.value.mutations);
    return findings.length === 0
      ? decision
      : createError({ code: 'not-allowed', message: findings.join('; ') });
  }

  #buildContext({ statement, operator }: ParsedCommand, view: FleetView): CommandContext {
    return {
      view,
      wallTime: this.#dependencies.clock.getWallTime(),
      reason: statement.reason ?? '',
      operator,
      getEvidence: this.#dependencies.getEvidence,
    };
  }

  #runReport(command: OperatorReport, parsed: ParsedCommand): OperatorReply {
    const view = this.#dependencies.store.get();
    const rows = command.listRows(parsed.input, this.#buildContext(parsed, view));
    return rows.ok
      ? { kind: 'rows', columns: command.columns, rows: rows.value, version: view.version }
      : buildRefusal(rows.error.code, rows.error.message);
  }

  #explain(parsed: ParsedCommand): OperatorReply {
    const view = this.#dependencies.store.get();
    const lines = listExplanationLines(parsed.command, view, this.#decide(parsed, view));
    const rows = lines.map((line) => ({ line }));
    return { kind: 'rows', columns: EXPLAIN_COLUMNS, rows, version: view.version };
  }

  #dryRun(parsed: ParsedCommand): OperatorReply {
    const view = this.#dependencies.store.get();
    const decision = this.#decide(parsed, view);
    if (!decision.ok) {
      return buildRefusal(decision.error.code, decision.error.message);
    }
    const rows = listDryRunRows(view, decision.value.mutations);
    return { kind: 'rows', columns: DRY_RUN_COLUMNS, rows, version: view.version };
  }

  async #writeChange(parsed: ParsedCommand, seenVersion: number): Promise<OperatorReply> {
    const { text, operator, statement } = parsed;
    let notes: readonly string[] = [];
    const written = await this.#dependencies.writer.write<Refusal>({
      author: operator,
      command: text,
      reason: statement.reason ?? '',
      build: (view) => {
        const decision = this.#decide(parsed, view);
        if (!decision.ok) {
          return this.#addConflictingChange(decision, parsed, seenVersion);
        }
        const conflict = this.#findConflict(decision.value.mutations, seenVersion);
        if (conflict !== null) {
          return createError(conflict);
        }
        notes = decision.value.notes;
        return createOk(decision.value.mutations);
      },
    });
    if (written.ok) {
      const { version, transactionId } = written.value;
      const progress = await this.#dependencies.writer.waitUntilAccepted(version);
      return { kind: 'changed', version, transactionId, notes, progress };
    }
    return written.error.kind === 'refused'
      ? buildRefusal(written.error.refusal.code, written.error.refusal.message)
      : written.error;
  }

  /** Finds a change to one of the entities that is newer than the version that the operator saw. */
  #findConflict(mutations: readonly Mutation[], seenVersion: number): Refusal | null {
    for (const { kind, id } of mutations) {
      const last = this.#dependencies.journal.findLastChange(kind, id);
      if (last !== null && last.version > seenVersion) {
        const changedAt = new Date(last.at).toISOString();
        const message = `${kind} ${id} was changed by ${last.author} at ${changedAt} in version ${last.version}: ${last.command}`;
        return { code: 'conflict', message };
      }
    }
    return null;
  }

  /** Adds the last change of the named entities to a refusal that their state caused. */
  #addConflictingChange(
    decision: { readonly ok: false; readonly error: Refusal },
    { command, input }: ParsedCommand,
    seenVersion: number,
  ): { readonly ok: false; readonly error: Refusal } {
    if (!['conflict', 'not-found'].includes(decision.error.code)) {
      return decision;
    }
    const named = command.parameters.flatMap(({ kind }, index) =>
      kind === null ? [] : [{ kind, id: input.values[index] ?? '', value: null } as Mutation],
    );
    const conflict =
      this.#findConflict(named, seenVersion) ??
      (decision.error.code === 'conflict' ? this.#findConflict(named, 0) : null);
    return conflict === null
      ? decision
      : createError({
          code: 'conflict',
          message: `${decision.error.message}; ${conflict.message}`,
        });
  }

  #recordFailure(
    reply: OperatorReply,
    statement: CommandStatement,
    text: string,
    operator: string,
  ): void {
    const isRun = statement.mode === CommandMode.Run;
    if (!isRun || reply.kind === 'changed' || reply.kind === 'rows') {
      return;
    }
    this.#dependencies.records.add({
      id: reply.kind === 'unknown' ? reply.transactionId : randomUUID(),
      operator,
      command: text,
      reason: statement.reason ?? '',
      at: this.#dependencies.clock.getWallTime(),
      result: reply.kind,
      detail: reply.kind === 'refused' ? `${reply.code}: ${reply.message}` : JSON.stringify(reply),
    });
  }
}
