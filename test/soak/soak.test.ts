import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, test} from 'vitest';
import {runSoak} from './run-soak.js';

const durationMs = 30_000;
const testTimeoutMs = 120_000;

describe('a fault soak', () => {
	test.each([[1]])('with seed %i violates no guarantee without a time bound', async seed => {
		const {violations, served} = await runSoak({
			seed, durationMs, folder: mkdtempSync(path.join(tmpdir(), 'soak-')), checksTimeBounds: false,
		});
		expect(violations).toEqual([]);
		expect(served).toBeGreaterThan(0);
	}, testTimeoutMs);
});
