import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {diffListing} from '../../../src/decide/kv-cache/diff-listing.js';
import {createAbandonedSaveDetector} from '../../../src/decide/kv-cache/create-abandoned-save-detector.js';
import {createPendingSaves} from '../../../src/decide/kv-cache/create-pending-saves.js';
import {createKvStoreIndex} from '../../../src/decide/kv-cache/create-kv-store-index.js';

const partOf = (part: string, tokens: number) => ({scope: 'm/1', part, tokens});
const arbitraryParts = fc.uniqueArray(fc.record({
	scope: fc.constantFrom('m/1', 'm/2'), part: fc.constantFrom('a', 'b', 'c', 'd'), tokens: fc.integer({min: 1, max: 3}),
}), {selector: ({scope, part}) => `${scope} ${part}`});
const batchOf = (parts: ReadonlyArray<ReturnType<typeof partOf>>, next: number) => ({
	epoch: 1, next, hasGap: false, clockMs: 0, events: parts.map(part => ({isAdded: true, ...part})),
});

describe('the difference between an index and a listing', () => {
	test('turns the index into the listing when it is applied', () => {
		fc.assert(fc.property(arbitraryParts, arbitraryParts, (previous, listed) => {
			const index = createKvStoreIndex();
			index.applyUpdate(batchOf(previous, 1), 0, 0);
			index.applyUpdate({...batchOf([], 2), events: diffListing(previous, listed)}, 0, 0);
			const sorted = (parts: ReadonlyArray<ReturnType<typeof partOf>>) => parts.map(part => JSON.stringify([part.scope, part.part, part.tokens])).toSorted();
			expect(sorted(index.listParts())).toEqual(sorted(listed));
			expect(index.tokens()).toBe(listed.reduce((sum, {tokens}) => sum + tokens, 0));
		}), {seed: 31});
	});
});

describe('pending saves', () => {
	const cases: ReadonlyArray<readonly [name: string, atMs: number, storedParts: readonly string[], tokens: number, hasLostSave: boolean]> = [
		['are no longer counted once the store shows them', 100, ['a', 'b'], 0, false],
		['are counted while the store does not show them', 100, ['a'], 20, false],
		['are lost after a time-out', 4100, ['a'], 0, true],
		['are not lost when the store shows them late', 4100, ['a', 'b'], 0, false],
	];
	test.each(cases)('%s', (_name, atMs, storedParts, tokens, hasLostSave) => {
		const saves = createPendingSaves();
		saves.record('m/1', 'a', 10, 0);
		saves.record('m/1', 'b', 20, 0);
		expect(saves.sweep((_scope, part) => storedParts.includes(part), atMs)).toBe(tokens);
		expect([saves.consumeLossFlag(), saves.consumeLossFlag()]).toEqual([hasLostSave, false]);
	});
});

describe('unfinished saves', () => {
	const listed = (part: string, doneTokens: number) => ({
		scope: 'm/1', part, doneTokens, reservedTokens: 100,
	});
	test('are abandoned after a long time without progress between listings', () => {
		const findAbandoned = createAbandonedSaveDetector();
		expect(findAbandoned([listed('still', 5), listed('grows', 5), listed('gone', 5)], 0)).toEqual([]);
		expect(findAbandoned([listed('still', 5), listed('grows', 6)], 10_000)).toEqual([]);
		expect(findAbandoned([listed('still', 5), listed('grows', 6), listed('gone', 5)], 20_000)).toEqual([listed('still', 5)]);
	});
});
