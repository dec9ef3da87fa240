import {describe, expect, test} from 'vitest';
import {PlatformUnavailableError} from '../../src/errors/platform-unavailable-error.js';
import {createObjectWatcher} from '../../src/object-store/create-object-watcher.js';
import {type ObjectStore} from '../../src/object-store/object-store.js';
import {programErrorsTotal} from '../../src/observe/program-errors-total.js';
import {sleep} from '../../src/util/sleep.js';
import {waitUntil} from '../support/wait-until.js';

/** The watcher's clock runs this many times as fast as the test's. */
const speed = 20;

/** A store whose watches fail or deliver nothing, while lists are answered. */
const brokenWatches: ReadonlyArray<readonly [string, boolean, ObjectStore['watch']]> = [
	['an error of the program', true, async () => {
		throw new RangeError('The value of "delay" is out of range');
	}],
	['a response that cannot be read', true, async () => ({epoch: 0, revision: 1e9}) as never],
	['no response in time', false, async (_kind, _from, waitMs) => {
		await sleep(waitMs / speed);
		throw new PlatformUnavailableError('store watch: timed out', 'no');
	}],
];

async function countProgramErrors(): Promise<number> {
	const {values} = await programErrorsTotal.get();
	return values.reduce((sum, {value}) => sum + value, 0);
}

/** Errors of the program were taken for a store that does not answer, and a follower that had a state never listed the objects again. */
describe('a follower of stored objects', () => {
	test.each(brokenWatches)('sees changes though its watches end with %s', async (_name, isProgramError, watch) => {
		let version = 1;
		const seen: number[] = [];
		const store = {
			list: async () => ({
				objects: [{
					name: 'main', epoch: 0, revision: version, value: version,
				}], epoch: 0, revision: version,
			}),
			watch,
		} as unknown as ObjectStore;
		const before = await countProgramErrors();
		const watcher = createObjectWatcher({
			kind: 'configuration', store, now: () => performance.now() * speed, random: () => 0, waitMs: () => 700, isWatching: () => true,
			onChange(objects) {
				seen.push(objects[0]!.value as number);
			},
		});
		await waitUntil('the first version', () => seen.includes(1));
		version = 2;
		await waitUntil('the second version', () => seen.includes(2), 10_000);
		version = 3;
		await waitUntil('the third version', () => seen.includes(3), 10_000);
		watcher.stop();
		expect(await countProgramErrors() > before).toBe(isProgramError);
	});

	test('delivers a change again if what it told failed', async () => {
		let fails = true;
		const seen: number[] = [];
		const store = {
			list: async () => ({
				objects: [{
					name: 'main', epoch: 0, revision: 5, value: 5,
				}], epoch: 0, revision: 5,
			}),
			async watch() {
				await sleep(20);
				return {changes: [], epoch: 0, revision: 5};
			},
		} as unknown as ObjectStore;
		const watcher = createObjectWatcher({
			kind: 'configuration', store, now: () => performance.now(), random: () => 0, waitMs: () => 700, isWatching: () => true,
			onChange(objects) {
				if (fails) {
					fails = false;
					throw new TypeError('cannot read properties of undefined');
				}

				seen.push(objects[0]!.value as number);
			},
		});
		await waitUntil('the change', () => seen.includes(5), 10_000);
		watcher.stop();
		expect(seen).toEqual([5]);
	});
});
