import {expect, test} from 'vitest';
import {createRemovedEntryFilter} from '../../src/decide/object-store/create-removed-entry-filter.js';

type Entry = readonly [name: string, revision: number, start?: number];
type Step = readonly [epoch: number, ...entries: readonly Entry[]];

/** Applies lists of entries in turn; returns the entries that count after the last one. */
function applyAll(steps: readonly Step[], stepMs = 0): ReadonlyArray<{readonly name: string; readonly value: unknown}> {
	let at = 0;
	const filter = createRemovedEntryFilter({isSameStart: (a, b) => a === b, now: () => at});
	let counting: ReturnType<typeof filter> = [];
	for (const [epoch, ...entries] of steps) {
		counting = filter(entries.map(([name, revision, value = 1]) => ({
			name, epoch, revision, value,
		})), epoch);
		at += stepMs;
	}

	return counting;
}

test.each<readonly [string, readonly Step[], readonly string[]]>([
	['does not count while the copy shows it', [[1, ['a', 3], ['b', 4]], [1, ['a', 3]], [2, ['a', 3], ['b', 4]]], ['a']],
	['does not count when it is seen again in the same epoch', [[1, ['a', 3], ['b', 4]], [1, ['a', 3]], [2, ['a', 3], ['b', 4]], [2, ['a', 6], ['b', 4]]], ['a']],
	['counts again when it is written again', [[1, ['a', 3], ['b', 4]], [1, ['a', 3]], [2, ['a', 3], ['b', 4]], [2, ['a', 3], ['b', 5]]], ['a', 'b']],
	['counts when it is another start', [[1, ['a', 3], ['b', 4]], [1, ['a', 3]], [2, ['a', 3], ['b', 4, 2]]], ['a', 'b']],
	['does not count in a second copy either', [[1, ['a', 3], ['b', 4]], [1, ['a', 3]], [2, ['a', 3], ['b', 4]], [3, ['a', 3], ['b', 4]]], ['a']],
	['counts when it comes back without a copy', [[1, ['a', 3], ['b', 4]], [1, ['a', 3]], [1, ['a', 3], ['b', 7]]], ['a', 'b']],
	['is not taken for removed when only the copy lacks it', [[1, ['a', 3], ['b', 9]], [2, ['a', 3]], [2, ['a', 3], ['b', 6]]], ['a', 'b']],
])('an entry that was removed before the store came back from an older copy %s', (_name, steps, expected) => {
	expect(applyAll(steps).map(({name}) => name)).toEqual(expected);
});

// Guards against docs/incidents/earlier-starts-in-a-returned-store.md: hosts took the earlier start for the present one, with the version that it had.
test.each<readonly [string, readonly Step[], number]>([
	['counts on while the copy shows the earlier one', [[1, ['a', 3, 1]], [1, ['a', 5, 2]], [2, ['a', 3, 1]]], 2],
	['counts on when that is seen again in the same epoch', [[1, ['a', 3, 1]], [1, ['a', 5, 2]], [2, ['a', 3, 1]], [2, ['a', 3, 1]]], 2],
	['counts on in a second copy', [[1, ['a', 3, 1]], [1, ['a', 5, 2]], [2, ['a', 3, 1]], [3, ['a', 3, 1]]], 2],
	['counts on in a second copy of the start between', [[1, ['a', 3, 1]], [1, ['a', 5, 2]], [1, ['a', 6, 3]], [2, ['a', 3, 1]], [3, ['a', 5, 2]]], 3],
	['counts when it is written again', [[1, ['a', 3, 1]], [1, ['a', 5, 2]], [2, ['a', 3, 1]], [2, ['a', 4, 2]]], 2],
	['ends when a third one is written', [[1, ['a', 3, 1]], [1, ['a', 5, 2]], [2, ['a', 3, 1]], [2, ['a', 4, 3]]], 3],
	['ends when the earlier one is written again', [[1, ['a', 3, 1]], [1, ['a', 5, 2]], [2, ['a', 3, 1]], [2, ['a', 4, 1]]], 1],
	['ends when the copy shows one that was not known', [[1, ['a', 3, 1]], [1, ['a', 5, 2]], [2, ['a', 4, 7]]], 7],
	['ends when another one follows without a copy', [[1, ['a', 3, 1]], [1, ['a', 5, 2]], [1, ['a', 6, 1]]], 1],
])('a start that was known before the store came back from an older copy %s', (_name, steps, expected) => {
	expect(applyAll(steps).map(({value}) => value)).toEqual([expected]);
});

test('entries at the positions that are known are not compared again, also as new objects from another host', () => {
	let comparisons = 0;
	const filter = createRemovedEntryFilter({
		isSameStart(a, b) {
			comparisons++;
			return a === b;
		},
		now: () => 0,
	});
	const list = (): ReadonlyArray<{name: string; epoch: number; revision: number; value: unknown}> => Array.from({length: 98}, (_, index) => ({
		name: `i-${index}`, epoch: 1, revision: index + 1, value: 1,
	}));
	filter(list(), 1);
	filter(list(), 1);
	expect(comparisons).toBe(0);
});
