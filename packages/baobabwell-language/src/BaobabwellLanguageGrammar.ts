import type {
  CommandOption,
  CommandStatement,
  Condition,
  LocatedText,
  QueryOrder,
  QueryStatement,
  Statement,
} from './BaobabwellLanguage';
import type { IToken } from 'chevrotain';

import { EmbeddedActionsParser, EOF } from 'chevrotain';

import { CommandMode, Comparison } from './BaobabwellLanguage';
import {
  And,
  Ascending,
  By,
  Close,
  Comma,
  Descending,
  DryRun,
  Equal,
  Explain,
  Greater,
  If,
  In,
  Less,
  Like,
  Limit,
  Name,
  NotEqual,
  Open,
  Order,
  Reason,
  Show,
  Since,
  Text,
  To,
  TOKENS,
  Value,
  Verb,
  Version,
  Where,
  Whole,
  Word,
} from './BaobabwellLanguageTokens';

const MAX_LOOKAHEAD = 3;

function parseText(image: string): string {
  return image.startsWith('"') ? (JSON.parse(image) as string) : image;
}

function buildLocated({ image, startColumn }: IToken): LocatedText {
  return { text: parseText(image), column: startColumn ?? 1 };
}

/** Parses statements of the operators' language. A `NameCatalog` refers to its rules by name. */
export class StatementParser extends EmbeddedActionsParser {
  constructor() {
    super([...TOKENS], { maxLookahead: MAX_LOOKAHEAD });
    this.performSelfAnalysis();
  }

  readonly value = this.RULE('value', (): LocatedText =>
    this.OR([
      { ALT: () => buildLocated(this.CONSUME(Text)) },
      { ALT: () => buildLocated(this.CONSUME(Name)) },
    ]),
  );

  readonly values = this.RULE('values', (): LocatedText[] => {
    const values: LocatedText[] = [];
    this.OR([
      {
        ALT: () => {
          this.CONSUME(Open);
          this.AT_LEAST_ONE_SEP({
            SEP: Comma,
            DEF: () => {
              values.push(this.SUBRULE(this.value));
            },
          });
          this.CONSUME(Close);
        },
      },
      {
        ALT: () => {
          values.push(this.SUBRULE1(this.value));
        },
      },
    ]);
    return values;
  });

  readonly column = this.RULE('column', (): LocatedText => buildLocated(this.CONSUME(Name)));

  readonly comparison = this.RULE('comparison', (): Comparison =>
    this.OR([
      { ALT: () => this.CONSUME(Equal) && Comparison.Equal },
      { ALT: () => this.CONSUME(NotEqual) && Comparison.NotEqual },
      { ALT: () => this.CONSUME(Less) && Comparison.Less },
      { ALT: () => this.CONSUME(Greater) && Comparison.Greater },
      { ALT: () => this.CONSUME(In) && Comparison.In },
      { ALT: () => this.CONSUME(Like) && Comparison.Like },
    ]),
  );

  readonly condition = this.RULE('condition', (): Condition => {
    const column = this.SUBRULE(this.column);
    const comparison = this.SUBRULE(this.comparison);
    const values = this.SUBRULE(this.values);
    return { column, comparison, values };
  });

  readonly order = this.RULE('order', (): QueryOrder => {
    const column = this.SUBRULE(this.column);
    let isDescending = false;
    this.OPTION(() =>
      this.OR([
        { ALT: () => this.CONSUME(Ascending) },
        {
          ALT: () => {
            this.CONSUME(Descending);
            isDescending = true;
          },
        },
      ]),
    );
    return { column, isDescending };
  });

  readonly source = this.RULE('source', (): LocatedText => buildLocated(this.CONSUME(Word)));

  readonly queryArgument = this.RULE('queryArgument', (): LocatedText =>
    this.OR([
      { ALT: () => buildLocated(this.CONSUME(Text)) },
      { ALT: () => buildLocated(this.CONSUME(Value)) },
    ]),
  );

  readonly whole = this.RULE('whole', (): number => Number(this.CONSUME(Whole).image));

  readonly query = this.RULE('query', (): QueryStatement => {
    const source = this.SUBRULE(this.source);
    let argument: LocatedText | null = null;
    let since: number | null = null;
    let limit: number | null = null;
    const conditions: Condition[] = [];
    const order: QueryOrder[] = [];
    const columns: LocatedText[] = [];
    this.OPTION(() => {
      argument = this.SUBRULE(this.queryArgument);
    });
    this.OPTION1(() => {
      this.CONSUME(Since);
      since = this.SUBRULE(this.whole);
    });
    this.OPTION2(() => {
      this.CONSUME(Where);
      this.AT_LEAST_ONE_SEP({
        SEP: And,
        DEF: () => {
          conditions.push(this.SUBRULE(this.condition));
        },
      });
    });
    this.MANY(() =>
      this.OR([
        {
          ALT: () => {
            this.CONSUME(Order);
            this.CONSUME(By);
            this.AT_LEAST_ONE_SEP1({
              SEP: Comma,
              DEF: () => {
                order.push(this.SUBRULE(this.order));
              },
            });
          },
        },
        {
          ALT: () => {
            this.CONSUME(Show);
            this.AT_LEAST_ONE_SEP2({
              SEP: Comma,
              DEF: () => {
                columns.push(this.SUBRULE(this.column));
              },
            });
          },
        },
        {
          ALT: () => {
            this.CONSUME(Limit);
            limit = this.SUBRULE1(this.whole);
          },
        },
      ]),
    );
    return { kind: 'query', source, argument, since, conditions, order, columns, limit };
  });

  readonly verb = this.RULE('verb', (): LocatedText => buildLocated(this.CONSUME(Verb)));

  readonly object = this.RULE('object', (): LocatedText => buildLocated(this.CONSUME(Value)));

  readonly argument = this.RULE('argument', (): LocatedText => {
    this.OPTION(() => this.CONSUME(To));
    return this.OR([
      { ALT: () => buildLocated(this.CONSUME(Text)) },
      { ALT: () => buildLocated(this.CONSUME(Value)) },
    ]);
  });

  readonly optionName = this.RULE('optionName', (): LocatedText =>
    buildLocated(this.CONSUME(Name)),
  );

  readonly assignment = this.RULE('assignment', (): CommandOption => {
    const name = this.SUBRULE(this.optionName);
    this.CONSUME(Equal);
    const values = this.SUBRULE(this.values);
    this.OPTION(() => this.CONSUME(Comma));
    return { name, values };
  });

  readonly mode = this.RULE('mode', (): CommandMode => {
    let mode = CommandMode.Run;
    this.OPTION(() => {
      mode = this.OR([
        { ALT: () => this.CONSUME(Explain) && CommandMode.Explain },
        { ALT: () => this.CONSUME(DryRun) && CommandMode.DryRun },
      ]);
    });
    return mode;
  });

  readonly command = this.RULE('command', (): CommandStatement => {
    const mode = this.SUBRULE(this.mode);
    const name = this.SUBRULE(this.verb);
    const object = this.SUBRULE(this.object);
    const values: LocatedText[] = [];
    const options: CommandOption[] = [];
    let reason: string | null = null;
    let expectedVersion: number | null = null;
    this.MANY({
      GATE: () => this.LA(2).tokenType !== Equal,
      DEF: () => {
        values.push(this.SUBRULE(this.argument));
      },
    });
    this.MANY1(() => {
      options.push(this.SUBRULE(this.assignment));
    });
    this.OPTION(() => {
      this.CONSUME(If);
      this.CONSUME(Version);
      expectedVersion = this.SUBRULE(this.whole);
    });
    this.OPTION1(() => {
      this.CONSUME(Reason);
      reason = parseText(this.CONSUME(Text).image);
    });
    return {
      kind: 'command',
      mode,
      name: this.ACTION(() => ({ text: `${name.text} ${object.text}`, column: name.column })),
      object,
      arguments: values,
      options,
      reason,
      expectedVersion,
    };
  });

  readonly statement = this.RULE('statement', (): Statement => {
    const statement = this.OR<Statement>([
      { ALT: () => this.SUBRULE(this.command) },
      { ALT: () => this.SUBRULE(this.query) },
    ]);
    this.CONSUME(EOF);
    return statement;
  });
}
