import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {diffListing} from '../../../src/decide/kept/diff-listing.js';
import {createAbandonedSaveDetector} from '../../../src/decide/kept/create-abandoned-save-detector.js';
import {createPendingSaves} from '../../../src/decide/kept/create-pending-saves.js';
import {createKvStoreIndex} from '../../../src/decide/kept/create-kv-store-index.js';

const partOf = (part: string, tokens: number) => ({scope: 'm/1', part, tokens});
const partsOf = fc.uniqueArray(fc.record({
	scope: fc.constantFrom('m/1', 'm/2'), part: fc.constantFrom('a', 'b', 'c', 'd'), tokens: fc.integer({min: 1, max: 3}),
}), {selector: ({scope, part}) => `${scope} ${part}`});
const batchOf = (parts: ReadonlyArray<ReturnType<typeof partOf>>, next: number) => ({
	epoch: 1, next, hasGap: false, clockMs: 0, events: parts.map(part => ({isAdded: true, ...part})),
});

describe('a listing compared with what is known', () => {
	test('leads a directory that takes the differences to the listing', () => {
		fc.assert(fc.property(partsOf, partsOf, (previous, listed) => {
			const index = createKvStoreIndex();
			index.applyUpdate(batchOf(previous, 1), 0, 0);
			index.applyUpdate({...batchOf([], 2), events: diffListing(previous, listed)}, 0, 0);
			const sorted = (parts: ReadonlyArray<ReturnType<typeof partOf>>) => parts.map(part => JSON.stringify([part.scope, part.part, part.tokens])).toSorted();
			expect(sorted(index.listParts())).toEqual(sorted(listed));
			expect(index.tokens()).toBe(listed.reduce((sum, {tokens}) => sum + tokens, 0));
		}), {seed: 31});
	});
});

describe('saves under way', () => {
	const cases: ReadonlyArray<readonly [name: string, atMs: number, held: readonly string[], tokens: number, hasLostSave: boolean]> = [
		['that the store shows are no longer counted', 100, ['a', 'b'], 0, false],
		['that it does not show are', 100, ['a'], 20, false],
		['are taken for lost after a while', 4100, ['a'], 0, true],
		['are not lost where the store shows them late', 4100, ['a', 'b'], 0, false],
	];
	test.each(cases)('%s', (_name, atMs, held, tokens, hasLostSave) => {
		const saves = createPendingSaves();
		saves.record('m/1', 'a', 10, 0);
		saves.record('m/1', 'b', 20, 0);
		expect(saves.sweep((_scope, part) => held.includes(part), atMs)).toBe(tokens);
		expect([saves.consumeLossFlag(), saves.consumeLossFlag()]).toEqual([hasLostSave, false]);
	});
});

describe('saves that have not ended', () => {
	const listed = (part: string, doneTokens: number) => ({
		scope: 'm/1', part, doneTokens, reservedTokens: 100,
	});
	test('have broken off once they have not grown between listings for long', () => {
		const findAbandoned = createAbandonedSaveDetector();
		expect(findAbandoned([listed('still', 5), listed('grows', 5), listed('gone', 5)], 0)).toEqual([]);
		expect(findAbandoned([listed('still', 5), listed('grows', 6)], 10_000)).toEqual([]);
		expect(findAbandoned([listed('still', 5), listed('grows', 6), listed('gone', 5)], 20_000)).toEqual([listed('still', 5)]);
	});
});
