/** Lint configuration. Rules that conflict with the project's style are off; docs/DEVELOPERS.md gives the reason for each. */
const xoConfig = [
	{ignores: ['dist/**', 'target/**', 'reports/**', 'traces/**']},
	{
		rules: {
			'unicorn/prevent-abbreviations': 'off',
			'no-await-in-loop': 'off',
			'unicorn/no-null': 'off',
			'unicorn/prefer-event-target': 'off',
			'unicorn/no-process-exit': 'off',
			'unicorn/prefer-top-level-await': 'off',
			'capitalized-comments': 'off',
			'n/prefer-global/buffer': 'off',
			'no-unmodified-loop-condition': 'off',
			'max-params': ['error', {max: 6}],
			'no-restricted-properties': ['error', {object: 'AbortSignal', property: 'timeout', message: 'It throws on fractions: use createTimeoutSignal.'}],
		},
	},
	{files: ['src/util/create-timeout-signal.ts'], rules: {'no-restricted-properties': 'off'}},
	{
		files: ['**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			'@typescript-eslint/strict-void-return': 'off',
			'@typescript-eslint/consistent-type-assertions': 'off',
			'@typescript-eslint/consistent-type-definitions': ['error', 'type'],
			'@typescript-eslint/no-unsafe-assignment': 'off',
			'@typescript-eslint/no-unsafe-call': 'off',
			'@typescript-eslint/no-unsafe-argument': 'off',
			'@typescript-eslint/no-unsafe-member-access': 'off',
			'@typescript-eslint/no-unsafe-return': 'off',
		},
	},
	{files: ['src/util/hash-to-32-bits.ts'], rules: {'no-bitwise': 'off', 'unicorn/prefer-code-point': 'off'}},
	{files: ['scripts/deploy/rehearse.js'], rules: {camelcase: 'off'}},
	{files: ['test/**/*.ts'], rules: {'max-nested-callbacks': 'off', '@typescript-eslint/no-loop-func': 'off', 'unicorn/no-await-expression-member': 'off'}},
];

export default xoConfig;
