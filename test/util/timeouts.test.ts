import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createTimeoutSignal} from '../../src/util/create-timeout-signal.js';
import {toDelayMs} from '../../src/util/to-delay-ms.js';

const maxDelayMs = (2 ** 31) - 1;

/** Computed durations went to timers that refuse fractions and take long ones for 1 ms. */
describe('a computed duration', () => {
	test.each([
		[0, 0],
		[0.1, 1],
		[1, 1],
		[450.3, 451],
		[-3, 0],
		[-0.5, 0],
		[Number.NaN, 0],
		[Number.POSITIVE_INFINITY, maxDelayMs],
		[Number.NEGATIVE_INFINITY, 0],
		[maxDelayMs, maxDelayMs],
		[maxDelayMs + 0.5, maxDelayMs],
		[1e300, maxDelayMs],
	])('%d ms is a delay of %d ms', (ms, expected) => {
		expect(toDelayMs(ms) + 0).toBe(expected);
	});

	test('becomes a whole delay, never shorter than asked for within the timers\' range', () => {
		const duration = fc.oneof(fc.double({noNaN: true}), fc.double({min: -10, max: 5000, noNaN: true}), fc.integer());
		fc.assert(fc.property(duration, ms => {
			const delayMs = toDelayMs(ms);
			expect(Number.isInteger(delayMs)).toBe(true);
			expect(delayMs).toBeGreaterThanOrEqual(0);
			expect(delayMs).toBeLessThanOrEqual(maxDelayMs);
			expect(delayMs).toBeGreaterThanOrEqual(Math.min(ms, maxDelayMs));
			expect(() => createTimeoutSignal(ms)).not.toThrow();
		}), {seed: 47, numRuns: 2000});
	});
});
