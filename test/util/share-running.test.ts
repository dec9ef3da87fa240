import {describe, expect, test} from 'vitest';
import {shareRunning} from '../../src/util/share-running.js';

describe('calls that share a run while it lasts', () => {
	test.each([
		['at once, with one key', ['a', 'a', 'a'], [], ['a']],
		['at once, with several keys', ['a', 'b', 'a'], [], ['a', 'b']],
		['after the run has ended', ['a'], ['a'], ['a', 'a']],
	])('%s', async (_name, first, later, expected) => {
		const runs: string[] = [];
		const call = shareRunning(async key => {
			runs.push(key);
			return key.toUpperCase();
		});
		expect(await Promise.all(first.map(async key => call(key)))).toEqual(first.map(key => key.toUpperCase()));
		await Promise.all(later.map(async key => call(key)));
		expect(runs).toEqual(expected);
	});

	test('fail together, and the next one runs again', async () => {
		let runs = 0;
		const call = shareRunning(async () => {
			runs++;
			throw new Error('no');
		});
		const results = await Promise.allSettled([call('a'), call('a')]);
		expect(results.map(({status}) => status)).toEqual(['rejected', 'rejected']);
		await expect(call('a')).rejects.toThrow('no');
		expect(runs).toBe(2);
	});
});
