import {describe, expect, test} from 'vitest';
import {refreshEvery} from '../../src/util/refresh-every.js';

describe('a result that is refreshed now and then', () => {
	test.each([
		['at once', [0], [1]],
		['not within the interval', [0, 100, 299], [1, 1, 1]],
		['after the interval', [0, 300, 301, 900], [1, 2, 2, 3]],
	])('is computed %s', (_, times, results) => {
		let time = 0;
		let computed = 0;
		const get = refreshEvery(300, () => time, () => ++computed);
		expect(times.map(at => {
			time = at;
			return get();
		})).toEqual(results);
	});
});
