import {describe, expect, test} from 'vitest';
import {createWatchMargin} from '../../src/decide/object-store/create-watch-margin.js';

/** Responses by their lateness in milliseconds, and timeouts. */
const cases: ReadonlyArray<readonly [string, ReadonlyArray<number | 'timeout'>, number]> = [
	['at first', [], 400],
	['after a prompt response', [5], 400],
	['after a slow response', [450], 900],
	['after a change ended the wait of a slow store', [450, -300], 900],
	['after timeouts', ['timeout', 'timeout'], 1600],
	['after many timeouts', ['timeout', 'timeout', 'timeout', 'timeout'], 1600],
	['after a prompt response that follows timeouts', ['timeout', 'timeout', 20], 400],
];

describe('the time allowed for the response of a watch', () => {
	test.each(cases)('%s', (_name, events, expected) => {
		const margin = createWatchMargin();
		for (const event of events) {
			if (event === 'timeout') {
				margin.recordTimeout();
			} else {
				margin.recordResponse(event);
			}
		}

		expect(margin.ms()).toBe(expected);
	});
});
