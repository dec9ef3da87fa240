import {describe, expect, test} from 'vitest';
import {chooseWithinPace} from '../../../src/decide/pace/choose-within-pace.js';
import {mergeReportedPaces} from '../../../src/decide/pace/merge-reported-paces.js';

type Candidate = {
	readonly firstByteMs: number;
	readonly view: {
		readonly upstream: {readonly id: string};
		readonly inFlight: number;
		readonly isUnresponsive: boolean;
		readonly isEjected: boolean;
		readonly pace: {readonly limit: number; readonly isLimited: boolean} | undefined;
	};
};

const candidate = (id: string, firstByteMs: number, inFlight: number, pace?: Candidate['view']['pace'], isEjected = false): Candidate => ({
	firstByteMs, view: {
		upstream: {id}, inFlight, isUnresponsive: false, isEjected, pace,
	},
});
const warm = {limit: 32, isLimited: false};
const cold = {limit: 4, isLimited: true};
const objectiveMs = 800;

describe('the choice within limits', () => {
	test.each([
		['without limits: the fastest', [candidate('a', 100, 9), candidate('b', 50, 90)], true, 'b'],
		['a cold one with room, if the draw allows it', [candidate('a', 100, 9, warm), candidate('b', 50, 0, cold)], true, 'b'],
		['a warm one, if it does not', [candidate('a', 100, 9, warm), candidate('b', 50, 0, cold)], false, 'a'],
		['a warm one, where the cold one is at its limit', [candidate('a', 700, 9, warm), candidate('b', 50, 4, cold)], true, 'a'],
		['a warm one with a free slot', [candidate('a', 100, 31, warm), candidate('b', 50, 32, warm)], true, 'a'],
		['a full warm one that is in time before a cold one at its limit', [candidate('a', 300, 40, warm), candidate('b', 50, 4, cold)], true, 'a'],
		['the least loaded, where all are at their limit', [candidate('a', 300, 40, warm), candidate('b', 350, 33, warm)], true, 'a'],
		['a cold one at its limit, where the others are late and the draw allows it', [candidate('a', 1500, 40, warm), candidate('b', 500, 4, cold)], true, 'b'],
		['a late one, where the draw does not', [candidate('a', 1500, 31, warm), candidate('b', 500, 4, cold)], false, 'a'],
		['a cold one, where no other is usable', [candidate('a', 100, 0, warm, true), candidate('b', 500, 4, cold)], false, 'b'],
		['the only one', [candidate('b', 5000, 9, cold)], false, 'b'],
		['none', [], true, undefined],
	])('%s', (_name, candidates, isTaken, expected) => {
		const ejectedMs = 1e6;
		const score = ({firstByteMs, view}: Candidate): number => firstByteMs + (view.isEjected ? ejectedMs : 0);
		const best = chooseWithinPace(candidates, {
			choose: among => among.toSorted((a, b) => score(a) - score(b))[0],
			isLate: ({firstByteMs}) => firstByteMs > objectiveMs,
			tryTake: () => isTaken,
		});
		expect(best?.view.upstream.id).toBe(expected);
	});
});

describe('reported limits', () => {
	test('are merged into the newest of each start, with all answers under it', () => {
		const report = {
			id: 'a', startedAt: 1, setbacks: 1, limit: 8, onTime: 2, slow: 1,
		};
		expect(mergeReportedPaces([
			report,
			{...report, onTime: 3},
			{...report, limit: 4, onTime: 9},
			{...report, startedAt: 2, limit: 4},
		])).toEqual([{...report, onTime: 5, slow: 2}, {...report, startedAt: 2, limit: 4}]);
	});
});
