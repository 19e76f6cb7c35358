export type {
  CommandStatement,
  Condition,
  QueryStatement,
  Statement,
  SyntaxFinding,
} from './BaobabwellLanguage';

export { Comparison } from './BaobabwellLanguage';
export { parseStatement } from './BaobabwellLanguageParser';
