import { configs, extensions, plugins, rules } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** House lines that go before the Airbnb guide; each is explained in docs/HOUSE-STYLE.md. */
const houseRules = {
  'import-x/prefer-default-export': 'off',
  'import-x/no-default-export': 'error',
  'import-x/no-cycle': 'error',
  'no-await-in-loop': 'off',
  'no-continue': 'off',
  'no-restricted-syntax': [
    'error',
    { selector: 'ForInStatement', message: 'Use Object.entries.' },
    { selector: 'LabeledStatement', message: 'Split the function.' },
    { selector: 'WithStatement', message: 'Name the object.' },
    { selector: 'ExportAllDeclaration', message: 'An index lists its names.' },
  ],
  'max-classes-per-file': 'off',
  'class-methods-use-this': 'off',
  'no-void': ['error', { allowAsStatement: true }],
  'no-restricted-imports': [
    'error',
    {
      patterns: [
        { group: ['@baobabwell/*/*'], message: 'Import a package through its index.' },
        { group: ['../../*/src/*'], message: 'Import a package through its index.' },
      ],
    },
  ],
  'import-x/order': [
    'error',
    {
      groups: ['type', ['builtin', 'external'], 'internal', ['parent', 'sibling', 'index']],
      pathGroups: [{ pattern: '@baobabwell/**', group: 'internal' }],
      pathGroupsExcludedImportTypes: ['type'],
      'newlines-between': 'always',
      alphabetize: { order: 'asc', caseInsensitive: true },
    },
  ],
  '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
  '@typescript-eslint/no-explicit-any': 'error',
  '@typescript-eslint/no-floating-promises': 'error',
  'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
  'max-lines-per-function': ['error', { max: 80, skipBlankLines: true, skipComments: true }],
};

const testRules = {
  'func-names': 'off',
  'prefer-arrow-callback': 'off',
  'max-lines-per-function': 'off',
  'import-x/no-extraneous-dependencies': 'off',
};

export default [
  { ignores: ['dist/**', 'target/**', 'node_modules/**', 'scripts/*.cjs'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...extensions.base.typescript,
  rules.typescript.typescriptEslintStrict,
  ...configs.node.recommended,
  prettier,
  {
    files: ['platform/**/*.ts', 'packages/**/*.ts', 'scripts/**/*.ts', 'tests/**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: houseRules,
  },
  {
    files: ['**/__tests__/**/*.ts', 'platform/tests/**', 'tests/**', 'scripts/**'],
    rules: testRules,
  },
  {
    files: ['scripts/**'],
    rules: { 'no-console': 'off', 'import-x/no-extraneous-dependencies': 'off' },
  },
  { files: ['eslint.config.mjs'], rules: { 'import-x/no-default-export': 'off' } },
];
