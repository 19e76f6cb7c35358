import type { Settings } from './BaobabwellSettingsSchema';
import type { Finding, Result } from '@baobabwell/utils';
import type { z } from 'zod';

import { isNode, LineCounter, parseDocument } from 'yaml';

import { createError, createOk, FindingList } from '@baobabwell/utils';

import { settingsSchema } from './BaobabwellSettingsSchema';

type Source = {
  readonly file: string;
  readonly document: ReturnType<typeof parseDocument>;
  readonly lines: LineCounter;
};

function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>(
    (text, part) =>
      typeof part === 'number' ? `${text}[${part}]` : `${text}${text && '.'}${String(part)}`,
    '',
  );
}

/** Finds the position of a path, or of the nearest part of it that exists. */
function findOffset({ document }: Source, path: readonly PropertyKey[]): number {
  for (let length = path.length; length >= 0; length -= 1) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) {
      return node.range[0];
    }
  }
  return 0;
}

function formatAllowed(issue: z.core.$ZodIssue): string {
  const { params } = issue as { params?: { allowed?: string } };
  if (params?.allowed !== undefined) {
    return params.allowed;
  }
  switch (issue.code) {
    case 'invalid_type':
      return `a value of type ${issue.expected}`;
    case 'invalid_value':
      return issue.values.join(', ');
    case 'too_small':
      return `at least ${issue.minimum}`;
    case 'too_big':
      return `at most ${issue.maximum}`;
    case 'unrecognized_keys':
      return 'only the documented keys';
    default:
      return 'see docs/SETTINGS.md';
  }
}

function buildFinding(source: Source, issue: z.core.$ZodIssue): Finding {
  const { line, col } = source.lines.linePos(findOffset(source, issue.path));
  return {
    place: { file: source.file, line, column: col, path: formatPath(issue.path) },
    problem: issue.message,
    allowed: formatAllowed(issue),
  };
}

/** Reads settings from YAML, or reports everything that is wrong with them. */
export function parseSettings(text: string, file: string): Result<Settings, readonly Finding[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  const findings = new FindingList();
  document.errors.forEach(({ message, linePos }) => {
    const [{ line, col }] = linePos ?? [{ line: 1, col: 1 }];
    findings.add({
      place: { file, line, column: col, path: '' },
      problem: message,
      allowed: 'YAML 1.2',
    });
  });
  if (!findings.isEmpty()) {
    return createError(findings.list());
  }
  const parsed = settingsSchema.safeParse(document.toJS());
  if (parsed.success) {
    return createOk(parsed.data);
  }
  const source = { file, document, lines };
  parsed.error.issues.forEach((issue) => findings.add(buildFinding(source, issue)));
  return createError(findings.list());
}
