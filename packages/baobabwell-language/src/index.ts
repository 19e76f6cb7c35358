export type {
  CommandOption,
  CommandStatement,
  Condition,
  LocatedText,
  QueryOrder,
  QueryStatement,
  Statement,
  SyntaxFinding,
} from './BaobabwellLanguage';
export type { Completion } from './BaobabwellLanguageCompletion';
export type { Continuation } from './BaobabwellLanguageParser';

export { CommandMode, Comparison } from './BaobabwellLanguage';
export { listCompletions, NameCatalog } from './BaobabwellLanguageCompletion';
export { findContinuationAfter, parseStatement } from './BaobabwellLanguageParser';
export { formatSuggestions, listSimilarNames } from './BaobabwellLanguageSuggestions';
export { VERBS } from './BaobabwellLanguageTokens';
