import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {every} from '../../src/util/every.js';
import {getTickDelayMs} from '../../src/util/get-tick-delay-ms.js';
import {sleepUntilTick} from '../../src/util/sleep-until-tick.js';

describe('the time until the next tick', () => {
	test.each([
		[0, 100], [1, 99], [40.5, 60], [94, 6], [95.5, 105], [99.9, 101], [100, 100], [1234.25, 66],
	])('at %d ms is %d ms', (now, delayMs) => {
		expect(getTickDelayMs(now, 100)).toBe(delayMs);
	});
});

describe('periodic tasks', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	test('run at the same moments, whenever they were started', async () => {
		const runs: string[] = [];
		const stopFirst = every(100, 'first', () => runs.push(`first ${performance.now() % 100}`));
		await vi.advanceTimersByTimeAsync(130);
		const stopSecond = every(100, 'second', () => runs.push(`second ${performance.now() % 100}`));
		void sleepUntilTick(200).then(() => runs.push(`loop ${performance.now() % 100}`));
		const moments = new Set(runs);
		await vi.advanceTimersByTimeAsync(500);
		for (const run of runs) {
			moments.add(run);
		}

		stopFirst();
		stopSecond();
		const count = runs.length;
		await vi.advanceTimersByTimeAsync(500);
		expect(runs).toHaveLength(count);
		expect(new Set([...moments].map(moment => moment.split(' ')[1])).size).toBe(1);
		expect(count).toBeGreaterThanOrEqual(11);
	});

	test('go on after an error', async () => {
		let runs = 0;
		const stop = every(100, 'failing', () => {
			runs++;
			throw new TypeError('internal');
		});
		await vi.advanceTimersByTimeAsync(1000);
		stop();
		expect(runs).toBeGreaterThanOrEqual(9);
	});
});
