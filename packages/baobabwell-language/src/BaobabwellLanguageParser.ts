import type {
  CommandStatement,
  QueryStatement,
  Statement,
  SyntaxFinding,
} from './BaobabwellLanguage';
import type { Result } from '@baobabwell/utils';

import { createToken, EmbeddedActionsParser, EOF, Lexer } from 'chevrotain';

import { createError, createOk } from '@baobabwell/utils';

import { Comparison } from './BaobabwellLanguage';

const Space = createToken({ name: 'Space', pattern: /\s+/, group: Lexer.SKIPPED });
const Text = createToken({ name: 'Text', pattern: /"(?:[^"\\]|\\.)*"/ });
const NotEqual = createToken({ name: 'NotEqual', pattern: /!=/ });
const Equal = createToken({ name: 'Equal', pattern: /=/ });
const Comma = createToken({ name: 'Comma', pattern: /,/ });
const Word = createToken({ name: 'Word', pattern: /[^\s"=!,]+/ });
const Where = createToken({ name: 'Where', pattern: /where/, longer_alt: Word });
const And = createToken({ name: 'And', pattern: /and/, longer_alt: Word });
const Show = createToken({ name: 'Show', pattern: /show/, longer_alt: Word });
const Reason = createToken({ name: 'Reason', pattern: /reason/, longer_alt: Word });
const If = createToken({ name: 'If', pattern: /if/, longer_alt: Word });
const Version = createToken({ name: 'Version', pattern: /version/, longer_alt: Word });
const Verb = createToken({
  name: 'Verb',
  pattern: /grant|withdraw|drain|return|retire|fence/,
  longer_alt: Word,
});

const TOKENS = [
  Space,
  Text,
  NotEqual,
  Equal,
  Comma,
  Where,
  And,
  Show,
  Reason,
  If,
  Version,
  Verb,
  Word,
];

const lexer = new Lexer(TOKENS);

function parseText(image: string): string {
  return image.startsWith('"') ? (JSON.parse(image) as string) : image;
}

class StatementParser extends EmbeddedActionsParser {
  constructor() {
    super(TOKENS);
    this.performSelfAnalysis();
  }

  readonly statement = this.RULE('statement', (): Statement => {
    const statement = this.OR<Statement>([
      { ALT: () => this.SUBRULE(this.command) },
      { ALT: () => this.SUBRULE(this.query) },
    ]);
    this.CONSUME(EOF);
    return statement;
  });

  readonly value = this.RULE('value', (): string =>
    this.OR([
      { ALT: () => parseText(this.CONSUME(Text).image) },
      { ALT: () => this.CONSUME(Word).image },
    ]),
  );

  readonly query = this.RULE('query', (): QueryStatement => {
    const source = this.CONSUME(Word).image;
    const conditions: QueryStatement['conditions'][number][] = [];
    const columns: string[] = [];
    this.OPTION(() => {
      this.CONSUME(Where);
      this.AT_LEAST_ONE_SEP({
        SEP: And,
        DEF: () => {
          const column = this.CONSUME1(Word).image;
          const comparison = this.OR([
            {
              ALT: () => {
                this.CONSUME(Equal);
                return Comparison.Equal;
              },
            },
            {
              ALT: () => {
                this.CONSUME(NotEqual);
                return Comparison.NotEqual;
              },
            },
          ]);
          conditions.push({ column, comparison, value: this.SUBRULE(this.value) });
        },
      });
    });
    this.OPTION1(() => {
      this.CONSUME(Show);
      this.AT_LEAST_ONE_SEP1({
        SEP: Comma,
        DEF: () => {
          columns.push(this.CONSUME2(Word).image);
        },
      });
    });
    return { kind: 'query', source, conditions, columns };
  });

  readonly command = this.RULE('command', (): CommandStatement => {
    const verb = this.CONSUME(Verb).image;
    const object = this.CONSUME(Word).image;
    const values: string[] = [];
    let reason: string | null = null;
    let expectedVersion: number | null = null;
    this.MANY(() => {
      values.push(this.SUBRULE(this.value));
    });
    this.OPTION(() => {
      this.CONSUME(If);
      this.CONSUME(Version);
      expectedVersion = Number(this.CONSUME1(Word).image);
    });
    this.OPTION1(() => {
      this.CONSUME(Reason);
      reason = parseText(this.CONSUME(Text).image);
    });
    return {
      kind: 'command',
      name: `${verb} ${object}`,
      arguments: values,
      reason,
      expectedVersion,
    };
  });
}

const parser = new StatementParser();

/** Parses what an operator typed. */
export function parseStatement(text: string): Result<Statement, readonly SyntaxFinding[]> {
  const lexed = lexer.tokenize(text);
  parser.input = lexed.tokens;
  const statement = parser.statement();
  const findings = [
    ...lexed.errors.map(({ column, message }) => ({ column: column ?? 1, problem: message })),
    ...parser.errors.map(({ token, message }) => ({
      column: Number.isNaN(token.startColumn) ? text.length + 1 : (token.startColumn ?? 1),
      problem: message,
    })),
  ];
  return findings.length > 0 ? createError(findings) : createOk(statement);
}
