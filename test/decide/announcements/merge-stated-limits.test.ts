import {describe, expect, test} from 'vitest';
import {type StatedLimit} from '../../../src/announcements/stated-limit.js';
import {mergeReportedLimits} from '../../../src/decide/announcements/merge-reported-limits.js';
import {mergeStatedLimits} from '../../../src/decide/announcements/merge-stated-limits.js';
import {toValidLimit} from '../../../src/decide/announcements/to-valid-limit.js';

const state = (requestsPerS: number | undefined, askedAt: number, answeredAt: number): StatedLimit => ({requestsPerS, askedAt, answeredAt});

const cases: ReadonlyArray<readonly [name: string, known: StatedLimit, stated: StatedLimit, marginMs: number, expected: number | undefined]> = [
	['a later end', state(2, 0, 10), state(undefined, 10, 20), 0, undefined],
	['a later higher limit', state(2, 0, 10), state(8, 20, 30), 0, 8],
	['a later lower limit', state(8, 0, 10), state(2, 20, 30), 0, 2],
	['an end that was asked for before and arrives after', state(2, 100, 110), state(undefined, 0, 500), 0, 2],
	['a limit that was asked for before an end and arrives after', state(undefined, 100, 110), state(2, 0, 500), 0, 2],
	['a lower limit of the same time', state(8, 0, 100), state(2, 50, 90), 0, 2],
	['a higher limit of the same time', state(2, 0, 100), state(8, 50, 90), 0, 2],
	['a limit from long before', state(undefined, 1000, 1010), state(2, 0, 10), 0, undefined],
	['an end that another host reports, within the error of its times', state(2, 0, 10), state(undefined, 900, 910), 1000, 2],
	['an end that another host reports, beyond the error of its times', state(2, 0, 10), state(undefined, 1010, 1020), 1000, undefined],
	['a limit that another host reports from before an end', state(undefined, 5000, 5010), state(2, 0, 10), 1000, undefined],
];

describe('what holds of two statements of a limit', () => {
	test.each(cases)('with %s', (_name, known, stated, marginMs, expected) => {
		expect(mergeStatedLimits(known, stated, marginMs).requestsPerS).toBe(expected);
	});

	test('is the later answer of two that say the same, so that an earlier end does not count', () => {
		const merged = mergeStatedLimits(state(2, 0, 100), state(2, 50, 200), 0);
		expect(mergeStatedLimits(merged, state(undefined, 150, 160), 0).requestsPerS).toBe(2);
		expect(mergeStatedLimits(merged, state(undefined, 200, 210), 0).requestsPerS).toBe(undefined);
	});

	test('is one for each start of an upstream, of those that several hosts report', () => {
		const reported = [
			{
				id: 'a', startedAt: 1, perS: 2, askedAgeMs: 20, answeredAgeMs: 10,
			},
			{
				id: 'a', startedAt: 1, askedAgeMs: 500, answeredAgeMs: 400,
			},
			{
				id: 'a', startedAt: 2, perS: 8, askedAgeMs: 20, answeredAgeMs: 10,
			},
			{id: 'b', askedAgeMs: 5, answeredAgeMs: 2},
			{
				id: 'b', perS: 1, askedAgeMs: 900, answeredAgeMs: 800,
			},
		];
		expect(mergeReportedLimits(reported).map(({id, startedAt, perS}) => [id, startedAt, perS])).toEqual([['a', 1, 2], ['a', 2, 8], ['b', undefined, undefined]]);
	});

	test('is bounded in number', () => {
		expect(mergeReportedLimits(Array.from({length: 1900}, (_, index) => ({
			id: `i-${index}`, perS: 1, askedAgeMs: 2, answeredAgeMs: 1,
		}))).length).toBeLessThanOrEqual(64);
	});
});

describe('a stated number of requests a second', () => {
	test.each([
		[0, 0],
		[0.4, 0.4],
		[8, 8],
		[undefined, undefined],
		[Number.NaN, undefined],
		[-1, undefined],
		[-0.1, undefined],
		[1e9, undefined],
		[Number.POSITIVE_INFINITY, undefined],
	])('%d is the limit %d', (stated, expected) => {
		expect(toValidLimit(stated)).toBe(expected);
	});
});
