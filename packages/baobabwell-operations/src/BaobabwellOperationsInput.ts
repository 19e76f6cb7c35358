import type {
  CommandInput,
  CommandOptionSpec,
  CommandParameter,
  OperatorCommand,
  OptionValue,
} from './BaobabwellOperations';
import type { CommandOption, CommandStatement, SyntaxFinding } from '@baobabwell/language';
import type { FleetView } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { formatSuggestions, listSimilarNames } from '@baobabwell/language';
import { parseDuration } from '@baobabwell/settings';
import { createError, createOk } from '@baobabwell/utils';

import { OptionKind } from './BaobabwellOperations';

const IDENTIFIER_PATTERN = /^[a-z0-9][a-z0-9-]*$/;
const YES = 'yes';
const NO = 'no';

/** Builds a finding about an unknown name, with similar names as suggestions. */
export function buildUnknownNameFinding(
  what: string,
  { text, column }: { readonly text: string; readonly column: number },
  known: readonly string[],
): SyntaxFinding {
  const suggestions = listSimilarNames(text, known);
  const problem = `there is no ${what} "${text}"${formatSuggestions(suggestions)}`;
  return { column, problem, suggestions };
}

function parseOptionValue(text: string, kind: OptionKind): OptionValue | null {
  switch (kind) {
    case OptionKind.Integer:
      return /^\d+$/.test(text) ? Number(text) : null;
    case OptionKind.Number:
      return /^\d+(?:\.\d+)?$/.test(text) ? Number(text) : null;
    case OptionKind.Flag:
      return [YES, NO].includes(text) ? text === YES : null;
    case OptionKind.Duration:
      return parseDuration(text);
    case OptionKind.Text:
    case OptionKind.List:
      return text;
  }
}

function parseOption(
  { values }: CommandOption,
  spec: CommandOptionSpec,
): Result<OptionValue, readonly SyntaxFinding[]> {
  const findings: SyntaxFinding[] = [];
  const parsed = values.map(({ text, column }) => {
    const value = parseOptionValue(text, spec.kind);
    const isAllowed = spec.allowed?.includes(text) ?? true;
    if (value === null || !isAllowed) {
      const allowed = spec.allowed?.join(', ') ?? `a ${spec.kind}`;
      const suggestions = listSimilarNames(text, spec.allowed ?? []);
      findings.push({
        column,
        problem: `"${text}" is not valid; expected ${allowed}`,
        suggestions,
      });
    }
    return value;
  });
  if (findings.length > 0) {
    return createError(findings);
  }
  if (spec.kind === OptionKind.List) {
    return createOk(values.map(({ text }) => text));
  }
  const [first = null] = parsed;
  return first === null || parsed.length > 1
    ? createError([
        {
          column: values[1]?.column ?? 1,
          problem: `${spec.name} takes one value`,
          suggestions: [],
        },
      ])
    : createOk(first);
}

function listReferenceFindings(
  { values }: CommandOption,
  spec: CommandOptionSpec,
  view: FleetView,
): readonly SyntaxFinding[] {
  const { references } = spec;
  if (references === undefined) {
    return [];
  }
  return values
    .filter(({ text }) => view.get(references, text) === null)
    .map((value) =>
      buildUnknownNameFinding(
        references,
        value,
        view.list(references).map(({ id }) => id),
      ),
    );
}

function listParameterFindings(
  { name, kind, isNew }: CommandParameter,
  value: { readonly text: string; readonly column: number },
  view: FleetView,
): readonly SyntaxFinding[] {
  const { text, column } = value;
  if (isNew) {
    return IDENTIFIER_PATTERN.test(text)
      ? []
      : [
          {
            column,
            problem: `${name} "${text}" is not an identifier (lower-case letters, digits and hyphens)`,
            suggestions: [],
          },
        ];
  }
  if (kind === null || view.get(kind, text) !== null) {
    return [];
  }
  return [
    buildUnknownNameFinding(
      kind,
      value,
      view.list(kind).map(({ id }) => id),
    ),
  ];
}

/** Formats the syntax of a command. */
export function formatUsage({ name, parameters, options }: OperatorCommand): string {
  const positional = parameters.map((parameter) => parameter.name.toUpperCase());
  const named = options.map(({ name: option, kind, isRequired }) => {
    const text = `${option} = ${kind.toUpperCase()}`;
    return isRequired ? text : `[${text}]`;
  });
  return [name, ...positional, ...named].join(' ');
}

function listArgumentCountFindings(
  command: OperatorCommand,
  { arguments: values, name }: CommandStatement,
): readonly SyntaxFinding[] {
  if (values.length === command.parameters.length) {
    return [];
  }
  const extra = values[command.parameters.length];
  const column = extra?.column ?? name.column;
  return [{ column, problem: `usage: ${formatUsage(command)}`, suggestions: [] }];
}

/** Parses and checks the arguments and options of a command; returns all findings together. */
export function parseInput(
  command: OperatorCommand,
  statement: CommandStatement,
  view: FleetView,
): Result<CommandInput, readonly SyntaxFinding[]> {
  const findings = [...listArgumentCountFindings(command, statement)];
  const options = new Map<string, OptionValue>();
  statement.arguments.slice(0, command.parameters.length).forEach((value, index) => {
    const parameter = command.parameters[index];
    findings.push(...(parameter ? listParameterFindings(parameter, value, view) : []));
  });
  statement.options.forEach((option) => {
    const spec = command.options.find(({ name }) => name === option.name.text);
    if (spec === undefined) {
      const known = command.options.map(({ name }) => name);
      findings.push(buildUnknownNameFinding(`option of ${command.name}`, option.name, known));
      return;
    }
    const parsed = parseOption(option, spec);
    findings.push(...(parsed.ok ? listReferenceFindings(option, spec, view) : parsed.error));
    if (parsed.ok) {
      options.set(spec.name, parsed.value);
    }
  });
  command.options
    .filter(({ name, isRequired }) => isRequired && !options.has(name))
    .filter(({ name }) => statement.options.every((option) => option.name.text !== name))
    .forEach(({ name }) => {
      const column = statement.name.column;
      findings.push({ column, problem: `${command.name} needs ${name} = …`, suggestions: [] });
    });
  return findings.length > 0
    ? createError(findings)
    : createOk({ values: statement.arguments.map(({ text }) => text), options });
}
