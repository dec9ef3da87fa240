import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['test/**/*.test.ts'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		maxWorkers: 4,
		sequence: {shuffle: false},
	},
});
