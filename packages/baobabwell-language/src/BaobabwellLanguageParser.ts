import type { Statement, SyntaxFinding } from './BaobabwellLanguage';
import type { Result } from '@baobabwell/utils';
import type { ISyntacticContentAssistPath, IToken } from 'chevrotain';

import { EOF, Lexer, tokenMatcher } from 'chevrotain';

import { createError, createOk } from '@baobabwell/utils';

import { StatementParser } from './BaobabwellLanguageGrammar';
import { formatSuggestions, listSimilarNames } from './BaobabwellLanguageSuggestions';
import { isFixedToken, TOKENS } from './BaobabwellLanguageTokens';

const lexer = new Lexer([...TOKENS]);
const parser = new StatementParser();

/** The tokens and names that may follow a partial statement. */
export type Continuation = {
  /** Keywords and symbols of the grammar. */
  readonly keywords: readonly string[];
  /** Grammar rules that accept a name at this position, such as `source` or `column`. */
  readonly rules: readonly string[];
  /** Labels of all tokens that are valid at this position, for messages. */
  readonly labels: readonly string[];
};

function getLabel({ nextTokenType }: ISyntacticContentAssistPath): string {
  return nextTokenType === EOF
    ? 'the end of the statement'
    : (nextTokenType.LABEL ?? nextTokenType.name);
}

/** Finds what the grammar accepts after the tokens. */
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

/** Finds what may follow a partial statement that ends at a word boundary. */
export function findContinuationAfter(text: string): Continuation {
  return findContinuation(lexer.tokenize(text).tokens);
}

function canFollow(before: readonly IToken[], token: IToken): boolean {
  return parser
    .computeContentAssist('statement', [...before])
    .some(({ nextTokenType }) => tokenMatcher(token, nextTokenType));
}

function findFirstUnexpectedToken(tokens: readonly IToken[]): number {
  const index = tokens.findIndex((token, position) => !canFollow(tokens.slice(0, position), token));
  return index < 0 ? tokens.length : index;
}

/** Builds a finding if the token before the error is similar to a keyword that is valid there. */
function findMistypedKeyword(tokens: readonly IToken[], errorIndex: number): SyntaxFinding | null {
  const token = tokens[errorIndex - 1];
  if (token === undefined || isFixedToken(token.tokenType)) {
    return null;
  }
  const { keywords } = findContinuation(tokens.slice(0, errorIndex - 1));
  const suggestions = listSimilarNames(token.image, keywords);
  return suggestions.length === 0
    ? null
    : {
        column: token.startColumn ?? 1,
        problem: `unexpected "${token.image}"${formatSuggestions(suggestions)}`,
        suggestions,
      };
}

function buildSyntaxFinding(text: string, tokens: readonly IToken[]): SyntaxFinding {
  const errorIndex = findFirstUnexpectedToken(tokens);
  const token = tokens[errorIndex];
  const { labels, keywords } = findContinuation(tokens.slice(0, errorIndex));
  const expected = labels.toSorted().join(', ');
  if (token === undefined) {
    return {
      column: text.length + 1,
      problem: `unexpected end of the statement; expected one of: ${expected}`,
      suggestions: [],
    };
  }
  const suggestions = listSimilarNames(token.image, keywords);
  const mistyped = suggestions.length === 0 ? findMistypedKeyword(tokens, errorIndex) : null;
  const problem = `unexpected "${token.image}"; expected one of: ${expected}`;
  return (
    mistyped ?? {
      column: token.startColumn ?? 1,
      problem: `${problem}${formatSuggestions(suggestions)}`,
      suggestions,
    }
  );
}

/** Parses a statement; returns the findings if it is not valid. */
export function parseStatement(text: string): Result<Statement, readonly SyntaxFinding[]> {
  const { tokens, errors } = lexer.tokenize(text);
  parser.input = tokens;
  const statement = parser.statement();
  const findings = [
    ...errors.map(({ column = 1 }) => ({
      column,
      problem: `unexpected input; expected a word, a symbol or quoted text: ${text.slice(column - 1)}`,
      suggestions: [],
    })),
    ...(errors.length === 0 && parser.errors.length > 0 ? [buildSyntaxFinding(text, tokens)] : []),
  ];
  return findings.length > 0 ? createError(findings) : createOk(statement);
}
