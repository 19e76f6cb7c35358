import type { Statement, SyntaxFinding } from './BaobabwellLanguage';
import type { Result } from '@baobabwell/utils';
import type { ISyntacticContentAssistPath, IToken } from 'chevrotain';

import { EOF, Lexer, tokenMatcher } from 'chevrotain';

import { createError, createOk } from '@baobabwell/utils';

import { StatementParser } from './BaobabwellLanguageGrammar';
import { formatSuggestions, listNearNames } from './BaobabwellLanguageSuggestions';
import { isFixedToken, TOKENS } from './BaobabwellLanguageTokens';

const lexer = new Lexer([...TOKENS]);
const parser = new StatementParser();

/** What may follow the beginning of a statement. */
export type Continuation = {
  /** Words and signs of the grammar. */
  readonly keywords: readonly string[];
  /** Rules of the grammar whose names may stand here, such as `source` or `column`. */
  readonly rules: readonly string[];
  /** What the grammar calls that which may stand here. */
  readonly labels: readonly string[];
};

function getLabel({ nextTokenType }: ISyntacticContentAssistPath): string {
  return nextTokenType === EOF ? 'the end' : (nextTokenType.LABEL ?? nextTokenType.name);
}

/** Finds what the grammar allows after the tokens. */
function findContinuation(tokens: readonly IToken[]): Continuation {
  const paths = parser.computeContentAssist('statement', [...tokens]);
  const fixed = paths.filter(({ nextTokenType }) => isFixedToken(nextTokenType));
  const open = paths.filter(({ nextTokenType }) => !isFixedToken(nextTokenType));
  return {
    keywords: [...new Set(fixed.map(getLabel))],
    rules: [...new Set(open.map(({ ruleStack }) => ruleStack.at(-1) ?? ''))],
    labels: [...new Set(paths.map(getLabel))],
  };
}

/** Finds what may follow a text that ends before the next word. */
export function findNext(text: string): Continuation {
  return findContinuation(lexer.tokenize(text).tokens);
}

function canFollow(before: readonly IToken[], token: IToken): boolean {
  return parser
    .computeContentAssist('statement', [...before])
    .some(({ nextTokenType }) => tokenMatcher(token, nextTokenType));
}

function findFirstFault(tokens: readonly IToken[]): number {
  const index = tokens.findIndex((token, at) => !canFollow(tokens.slice(0, at), token));
  return index < 0 ? tokens.length : index;
}

/** Finds a keyword that the word before the fault may have been meant to be. */
function findMistypedKeyword(tokens: readonly IToken[], fault: number): SyntaxFinding | null {
  const token = tokens[fault - 1];
  if (token === undefined || isFixedToken(token.tokenType)) {
    return null;
  }
  const { keywords } = findContinuation(tokens.slice(0, fault - 1));
  const suggestions = listNearNames(token.image, keywords);
  return suggestions.length === 0
    ? null
    : {
        column: token.startColumn ?? 1,
        problem: `found "${token.image}"${formatSuggestions(suggestions)}`,
        suggestions,
      };
}

function buildFinding(text: string, tokens: readonly IToken[]): SyntaxFinding {
  const fault = findFirstFault(tokens);
  const token = tokens[fault];
  const { labels, keywords } = findContinuation(tokens.slice(0, fault));
  const expected = labels.toSorted().join(', ');
  if (token === undefined) {
    return {
      column: text.length + 1,
      problem: `the statement ends where one of these is expected: ${expected}`,
      suggestions: [],
    };
  }
  const suggestions = listNearNames(token.image, keywords);
  const mistyped = suggestions.length === 0 ? findMistypedKeyword(tokens, fault) : null;
  const problem = `found "${token.image}" where one of these is expected: ${expected}`;
  return (
    mistyped ?? {
      column: token.startColumn ?? 1,
      problem: `${problem}${formatSuggestions(suggestions)}`,
      suggestions,
    }
  );
}

/** Parses what an operator typed, or reports everything that is wrong with it. */
export function parseStatement(text: string): Result<Statement, readonly SyntaxFinding[]> {
  const { tokens, errors } = lexer.tokenize(text);
  parser.input = tokens;
  const statement = parser.statement();
  const findings = [
    ...errors.map(({ column = 1 }) => ({
      column,
      problem: `no word, sign or quoted text begins at ${text.slice(column - 1)}`,
      suggestions: [],
    })),
    ...(errors.length === 0 && parser.errors.length > 0 ? [buildFinding(text, tokens)] : []),
  ];
  return findings.length > 0 ? createError(findings) : createOk(statement);
}
