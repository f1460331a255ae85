import eslint from '@eslint/js';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  {
    ignores: [
      'target/**',
      'journal/**',
      '**/dist/**',
      '**/node_modules/**',
      'packages/protocol/src/gen/**',
    ],
  },
  eslint.configs.recommended,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts', 'examples/**/*.ts'],
    extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
    },
  },
  {
    files: ['packages/*/src/test/**/*.ts', 'platform/src/test/**/*.ts'],
    rules: {
      // The functions of node:test return promises that its runner awaits.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', name: ['test', 'it', 'describe'], package: 'node:test' },
          ],
        },
      ],
    },
  },
  {
    files: ['scripts/**/*.mjs', '*.js'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly' } },
  },
  prettier,
);
