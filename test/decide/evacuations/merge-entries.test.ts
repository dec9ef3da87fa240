import {describe, expect, test} from 'vitest';
import {type EvacuationEntry} from '../../../src/decide/evacuations/evacuation-entry.js';
import {getEntriesVersion} from '../../../src/decide/evacuations/get-entries-version.js';
import {mergeEntries} from '../../../src/decide/evacuations/merge-entries.js';
import {toRemovedEntry} from '../../../src/decide/evacuations/to-removed-entry.js';

const entry = (epoch: number, revision: number, name = 'x'): EvacuationEntry => ({
	name, epoch, revision, value: {},
});
const removed = (epoch: number, revision: number, name = 'x'): EvacuationEntry => toRemovedEntry({name}, {epoch, revision});

/** Entries known before, received ones with their position, whether that is newer, and what is known then. */
const cases: ReadonlyArray<readonly [string, {
	readonly known: readonly EvacuationEntry[];
	readonly received: readonly EvacuationEntry[];
	readonly at: readonly [epoch: number, revision: number];
	readonly isNewer: boolean;
	readonly expected: readonly EvacuationEntry[];
}]> = [
	['a first list', {
		known: [], received: [entry(1, 5)], at: [1, 9], isNewer: true, expected: [entry(1, 5)],
	}],
	['an entry that the same epoch no longer lists was removed', {
		known: [entry(1, 5)], received: [], at: [1, 9], isNewer: true, expected: [removed(1, 9)],
	}],
	['an entry that a returned store does not list stays', {
		known: [entry(1, 5)], received: [], at: [2, 3], isNewer: true, expected: [entry(1, 5)],
	}],
	['an entry that a returned store does not list stays at each later list', {
		known: [entry(1, 5)], received: [], at: [2, 30], isNewer: true, expected: [entry(1, 5)],
	}],
	['an entry written again after the return and removed is removed', {
		known: [entry(2, 7)], received: [], at: [2, 9], isNewer: true, expected: [removed(2, 9)],
	}],
	['an entry that a host at an older position does not list stays', {
		known: [entry(1, 5)], received: [], at: [1, 5], isNewer: false, expected: [entry(1, 5)],
	}],
	['a removal recorded by another host removes an entry of an earlier epoch', {
		known: [entry(1, 5)], received: [removed(2, 9)], at: [2, 8], isNewer: false, expected: [removed(2, 9)],
	}],
	['an entry of an earlier epoch does not undo a removal', {
		known: [removed(2, 9)], received: [entry(1, 5)], at: [2, 9], isNewer: false, expected: [removed(2, 9)],
	}],
	['an entry that was removed and set again is in force', {
		known: [removed(1, 9)], received: [entry(1, 12)], at: [1, 12], isNewer: true, expected: [entry(1, 12)],
	}],
	['an entry that was removed and that the returned store lists again is in force', {
		known: [removed(1, 9)], received: [entry(2, 5)], at: [2, 6], isNewer: true, expected: [entry(2, 5)],
	}],
	['entries of other domains are independent', {
		known: [entry(1, 5, 'x'), entry(1, 6, 'y')], received: [entry(1, 6, 'y')], at: [1, 9], isNewer: true, expected: [entry(1, 6, 'y'), removed(1, 9, 'x')],
	}],
];

describe('entries that take domains out of service', () => {
	// Guards against an evacuation that ends unasked, or that no removal ends.
	test.each(cases)('%s', (_name, {known, received, at: [epoch, revision], isNewer, expected}) => {
		expect(mergeEntries(known, {objects: received, epoch, revision}, isNewer)).toEqual(expected);
	});

	// Guards against hosts that pull state from each other without end, since each seems to know more.
	test.each(cases)('never have a lower version than before: %s', (_name, {known, received, at: [epoch, revision], isNewer}) => {
		const merged = mergeEntries(known, {objects: received, epoch, revision}, isNewer);
		expect(getEntriesVersion(merged)).toBeGreaterThanOrEqual(Math.max(getEntriesVersion(known), getEntriesVersion(received)));
	});

	// Guards against memory that grows with every name that was ever removed.
	test('are forgotten, oldest first, once very many have been removed', () => {
		const many = Array.from({length: 600}, (_, index) => removed(1, index, `d-${index}`));
		const merged = mergeEntries(many, {objects: [entry(1, 700)], epoch: 1, revision: 700}, true);
		expect(merged).toHaveLength(501);
		expect(merged.some(({name}) => name === 'd-599')).toBe(true);
		expect(merged.some(({name}) => name === 'x')).toBe(true);
	});
});
