/** Converts validation issues of the schema into findings that state which values are allowed. */
import type { SettingsDocument, SettingsPath } from './BaobabwellSettingsDocument';
import type { Finding } from '@baobabwell/utils';

import { z } from 'zod';

type Issue = z.core.$ZodIssue;

const WRAPPER_TYPES = ['default', 'nullable', 'optional'];

const TYPE_NAMES: Readonly<Record<string, string>> = {
  object: 'a map',
  record: 'a map',
  array: 'a list',
  string: 'a string',
  number: 'a number',
  int: 'a whole number',
  boolean: 'true or false',
};

function unwrapSchema(schema: z.core.$ZodType): z.core.$ZodType {
  const { def } = schema._zod;
  if (def.type === 'pipe') {
    return unwrapSchema((def as z.core.$ZodPipeDef).in);
  }
  return WRAPPER_TYPES.includes(def.type)
    ? unwrapSchema((def as z.core.$ZodDefaultDef).innerType)
    : schema;
}

/** Lists the keys that the schema allows in the map at a path. */
function listKnownKeys(root: z.core.$ZodType, path: SettingsPath): readonly string[] {
  const schema = path.reduce<z.core.$ZodType | undefined>((outer, part) => {
    const inner = outer === undefined ? undefined : unwrapSchema(outer);
    if (inner instanceof z.ZodArray) {
      return inner.element as z.core.$ZodType;
    }
    return inner instanceof z.ZodObject ? (inner.shape[part] as z.core.$ZodType) : undefined;
  }, root);
  const map = schema === undefined ? undefined : unwrapSchema(schema);
  return map instanceof z.ZodObject ? Object.keys(map.shape) : [];
}

function formatType(expected: string): string {
  return TYPE_NAMES[expected] ?? `a value of type ${expected}`;
}

function formatBound(issue: { readonly origin: string }, bound: string): string {
  switch (issue.origin) {
    case 'string':
      return `${bound} characters`;
    case 'array':
      return `${bound} elements`;
    default:
      return bound;
  }
}

function formatMinimum(issue: {
  readonly minimum: number | bigint;
  readonly inclusive?: boolean;
}): string {
  return issue.inclusive === false ? `more than ${issue.minimum}` : `at least ${issue.minimum}`;
}

function formatIssue(issue: Issue, isMissing: boolean): Pick<Finding, 'problem' | 'allowed'> {
  const { params } = issue as { params?: { allowed?: string } };
  if (isMissing) {
    return { ...formatIssue(issue, false), problem: 'is missing' };
  }
  switch (issue.code) {
    case 'invalid_type':
      return { problem: 'has the wrong type', allowed: formatType(issue.expected) };
    case 'invalid_value':
      return { problem: 'is not one of the allowed values', allowed: issue.values.join(', ') };
    case 'too_small':
      return { problem: 'is too small', allowed: formatBound(issue, formatMinimum(issue)) };
    case 'too_big':
      return { problem: 'is too large', allowed: formatBound(issue, `at most ${issue.maximum}`) };
    case 'invalid_format':
      return { problem: `is not a valid ${issue.format}`, allowed: 'http://10.0.0.1:8000' };
    default:
      return { problem: issue.message, allowed: params?.allowed ?? 'see docs/SETTINGS.md' };
  }
}

function hasValue(root: unknown, path: SettingsPath): boolean {
  const value = path.reduce<unknown>(
    (outer, part) => (outer as Record<string, unknown> | null | undefined)?.[part],
    root,
  );
  return value !== undefined;
}

/** Builds the findings for one issue; an issue about several unknown keys yields one for each key. */
export function buildFindings(
  document: SettingsDocument,
  root: z.core.$ZodType,
  issue: Issue,
): readonly Finding[] {
  const path = issue.path as SettingsPath;
  if (issue.code === 'unrecognized_keys') {
    const allowed = listKnownKeys(root, path).join(', ');
    return issue.keys.map((key) => ({
      place: document.findKeyLocation(path, key),
      problem: 'is not a known key',
      allowed,
    }));
  }
  const isMissing = !hasValue(document.getValue(), path);
  return [{ place: document.findLocation(path), ...formatIssue(issue, isMissing) }];
}
