// Guards against docs/incidents/requests-cut-while-a-stopping-host-stores.md.
import {describe, expect, test} from 'vitest';
import {finishWork} from '../../src/util/finish-work.js';

/** Advance of the clock with each look at the requests, in milliseconds. */
const lookMs = 10;
const maxStoreMs = 300;

/** One case. Times are in milliseconds. */
type Case = {
	/** For how many looks requests are under way: at first, and after each time that something was stored. */
	readonly busyLooks: readonly number[];
	/** Duration of each time of storing; all is stored after as many. */
	readonly storeMs: readonly number[];
	readonly endsAt: number;
	readonly expected: {readonly isIdle: boolean; readonly isStored: boolean};
};

const cases: ReadonlyArray<readonly [string, Case]> = [
	['nothing is under way, nothing to store', {
		busyLooks: [], storeMs: [], endsAt: 5000, expected: {isIdle: true, isStored: true},
	}],
	['a request is under way', {
		busyLooks: [5], storeMs: [], endsAt: 5000, expected: {isIdle: true, isStored: true},
	}],
	['one comes while something is stored', {
		busyLooks: [2, 5], storeMs: [100], endsAt: 5000, expected: {isIdle: true, isStored: true},
	}],
	['others come each time that something is stored', {
		busyLooks: [0, 3, 5], storeMs: [100, 100], endsAt: 5000, expected: {isIdle: true, isStored: true},
	}],
	['one comes while the store takes nothing', {
		busyLooks: [0, 5], storeMs: [maxStoreMs, maxStoreMs], endsAt: 5000, expected: {isIdle: true, isStored: false},
	}],
	['one does not end in time', {
		busyLooks: [100_000, 100_000], storeMs: [100], endsAt: 100, expected: {isIdle: false, isStored: true},
	}],
];

describe('a process that stops', () => {
	test.each(cases)('stops at a moment without a request: %s', async (_name, {busyLooks, storeMs, endsAt, expected}) => {
		let clockMs = 0;
		let stored = 0;
		let looksLeft = busyLooks[0] ?? 0;
		const hasUnstored = (): boolean => stored < storeMs.length;
		await finishWork({
			underWay() {
				clockMs += lookMs;
				looksLeft--;
				return looksLeft >= 0 ? 1 : 0;
			},
			hasUnstored,
			async store() {
				clockMs += storeMs[stored]!;
				stored++;
				looksLeft = busyLooks[stored] ?? 0;
			},
			maxStoreMs, endsAt, now: () => clockMs,
		});
		expect({isIdle: looksLeft < 0, isStored: !hasUnstored()}).toEqual(expected);
	});
});
