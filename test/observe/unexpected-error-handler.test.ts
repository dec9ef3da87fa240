import {describe, expect, test} from 'vitest';
import {createUnexpectedErrorHandler} from '../../src/observe/create-unexpected-error-handler.js';

describe('unexpected errors', () => {
	test.each([
		['one', [0], 0],
		['twenty at once', Array.from({length: 20}, () => 0), 0],
		['one a second for a minute', Array.from({length: 60}, (_, index) => index * 1000), 0],
		['twenty-one within the window', Array.from({length: 21}, (_, index) => index * 400), 1],
		['a hundred at once', Array.from({length: 100}, () => 0), 1],
	])('stop a host once there are too many: %s', (_, times, stops) => {
		let time = 0;
		let stopped = 0;
		const handle = createUnexpectedErrorHandler({
			now: () => time,
			stop() {
				stopped++;
			},
		});
		for (const [index, at] of times.entries()) {
			time = at;
			handle([new TypeError('internal'), undefined, null, 'text'][index % 4]);
		}

		expect(stopped).toBe(stops);
	});
});
