import tseslint from 'typescript-eslint';
import tsdoc from 'eslint-plugin-tsdoc';

// Lowest layer first: a package may import only packages listed before it. Apps may import all.
const packageOrder = [
  'base',
  'telemetry',
  'settings',
  'directory',
  'peers',
  'claims',
  'admission',
  'routing',
  'pipeline',
  'orders',
  'relay',
];

const layerRules = packageOrder.map((name, index) => ({
  files: [`packages/${name}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [...packageOrder.slice(index), 'daemon', 'bench', 'cli'].map((later) => ({
          group: [`@endiveferry/${later}`],
          message: `packages/${name} may not import from ${later}`,
        })),
      },
    ],
  },
}));

export default tseslint.config(
  {
    ignores: [
      'target/**',
      '**/dist/**',
      '**/node_modules/**',
      'tools/**',
      '**/bin/**',
      'eslint.config.js',
    ],
  },
  {
    files: ['**/*.ts'],
    extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: { tsdoc },
    rules: {
      'tsdoc/syntax': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
    },
  },
  {
    // node:test returns a promise from test() that the runner itself awaits.
    files: ['**/*.test.ts'],
    rules: { '@typescript-eslint/no-floating-promises': 'off' },
  },
  ...layerRules,
);
