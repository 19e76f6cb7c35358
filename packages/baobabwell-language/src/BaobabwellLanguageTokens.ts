import type { TokenType } from 'chevrotain';

import { createToken, Lexer } from 'chevrotain';

/** The first words of commands. */
export const VERBS = [
  'fence',
  'abort',
  'change',
  'create',
  'drain',
  'finish',
  'grant',
  'move',
  'pause',
  'plan',
  'reboot',
  'rehearse',
  'remove',
  'resume',
  'retire',
  'return',
  'rotate',
  'start',
  'undo',
  'withdraw',
] as const;

/** Any word, including keywords of other contexts. */
export const Name = createToken({ name: 'Name', pattern: Lexer.NA, label: 'a name' });

/** Any word except the keywords that begin or continue a clause. */
export const Value = createToken({
  name: 'Value',
  pattern: Lexer.NA,
  categories: [Name],
  label: 'a value',
});

export const Space = createToken({ name: 'Space', pattern: /\s+/, group: Lexer.SKIPPED });

export const Text = createToken({
  name: 'Text',
  pattern: /"(?:[^"\\]|\\.)*"/,
  label: 'a quoted text',
});

export const NotEqual = createToken({ name: 'NotEqual', pattern: '!=', label: '!=' });
export const Equal = createToken({ name: 'Equal', pattern: '=', label: '=' });
export const Less = createToken({ name: 'Less', pattern: '<', label: '<' });
export const Greater = createToken({ name: 'Greater', pattern: '>', label: '>' });
export const Comma = createToken({ name: 'Comma', pattern: ',', label: ',' });
export const Open = createToken({ name: 'Open', pattern: '(', label: '(' });
export const Close = createToken({ name: 'Close', pattern: ')', label: ')' });

export const Word = createToken({
  name: 'Word',
  pattern: /[^\s"=!<>,()]+/,
  categories: [Value],
  label: 'a name',
});

export const Whole = createToken({
  name: 'Whole',
  pattern: /\d+/,
  longer_alt: Word,
  categories: [Value],
  label: 'a whole number',
});

export const Verb = createToken({
  name: 'Verb',
  pattern: new RegExp(VERBS.join('|')),
  longer_alt: Word,
  categories: [Value],
  label: 'a command',
});

function createKeyword(word: string, category: TokenType = Name): TokenType {
  return createToken({
    name: `Keyword-${word}`,
    pattern: new RegExp(word),
    longer_alt: Word,
    categories: [category],
    label: word,
  });
}

export const Where = createKeyword('where');
export const And = createKeyword('and');
export const Show = createKeyword('show');
export const Order = createKeyword('order');
export const By = createKeyword('by');
export const Ascending = createKeyword('asc');
export const Descending = createKeyword('desc');
export const Limit = createKeyword('limit');
export const Since = createKeyword('since');
export const In = createKeyword('in');
export const Like = createKeyword('like');
export const Version = createKeyword('version');
export const To = createKeyword('to');
export const If = createKeyword('if');
export const Reason = createKeyword('reason');
export const Explain = createKeyword('explain', Value);
export const DryRun = createKeyword('dry-run', Value);

const KEYWORDS = [
  Where,
  And,
  Show,
  Order,
  By,
  Ascending,
  Descending,
  Limit,
  Since,
  In,
  Like,
  Version,
  To,
  If,
  Reason,
  Explain,
  DryRun,
];

/** All token types, in the order in which the lexer tries them. */
export const TOKENS: readonly TokenType[] = [
  Space,
  Text,
  NotEqual,
  Equal,
  Less,
  Greater,
  Comma,
  Open,
  Close,
  ...KEYWORDS,
  Verb,
  Whole,
  Word,
  Value,
  Name,
];

/** Returns whether a token type matches exactly one keyword or symbol. */
export function isFixedToken(type: TokenType): boolean {
  return (
    KEYWORDS.includes(type) || [NotEqual, Equal, Less, Greater, Comma, Open, Close].includes(type)
  );
}
