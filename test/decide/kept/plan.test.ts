import {describe, expect, test} from 'vitest';
import {planKeptContext} from '../../../src/decide/kept/plan-kept-context.js';
import {type StoreView} from '../../../src/decide/kept/store-view.js';

const parts = [{id: 'common', tokens: 500}, {id: 'shared', tokens: 9000}, {id: 'own', tokens: 3000}];
const store = (name: string, held: readonly string[], changed: Partial<StoreView> = {}): StoreView => ({
	name, address: `${name}:1`, has: part => held.includes(part), fetchUntil: 5000, canSave: () => true, moveMs: tokens => tokens / 1000, ...changed,
});
const nobody = (): boolean => false;
const nowhere = (): string | undefined => undefined;
const facts: Parameters<typeof planKeptContext>[0] = {
	parts, engineHas: nobody, otherEngine: nowhere, stores: [], isBeingSaved: nobody, tokensPerMs: 90, engineMoveMs: tokens => tokens / 2000,
};
const none = [undefined, undefined, undefined];
const full = store('s', [], {canSave: () => false});
const unreadable = store('s', ['common', 'shared'], {fetchUntil: undefined});
const slower = store('s', ['shared'], {moveMs: () => 9});
const slow = store('s', ['common', 'shared'], {moveMs: tokens => tokens});

describe('where the parts of a prompt come from and go to', () => {
	test.each([
		['no store', facts, none, none, 12_500],
		['an empty store', {...facts, stores: [store('s', [])]}, none, ['s:1', 's:1', undefined], 12_500],
		['a store that holds all', {...facts, stores: [store('s', ['common', 'shared', 'own'])]}, ['s:1', 's:1', undefined], none, 3000],
		['a store of which nothing may be fetched', {...facts, stores: [unreadable]}, none, none, 12_500],
		['a full store', {...facts, stores: [full]}, none, none, 12_500],
		['a full store and one with room', {...facts, stores: [full, store('t', [])]}, none, ['t:1', 't:1', undefined], 12_500],
		['a store that is far too slow', {...facts, stores: [slow]}, none, none, 12_500],
		['two stores, the faster of which is chosen', {...facts, stores: [slower, store('t', ['shared'], {moveMs: () => 8})]}, [undefined, 't:1', undefined], ['s:1', undefined, undefined], 3500],
		['another engine that read a part lately', {...facts, otherEngine: (part: string) => part === 'shared' ? 'e:1' : undefined}, [undefined, 'e:1', undefined], none, 3500],
		['an engine that has it all', {...facts, engineHas: () => true}, none, none, 3000],
		['a save under way', {...facts, stores: [store('s', [])], isBeingSaved: () => true}, none, none, 12_500],
	] as const)('with %s', (_, given, fetched, saved, missing) => {
		const plan = planKeptContext(given);
		expect([plan.parts.map(part => part.fetchFrom), plan.parts.map(part => part.saveTo), plan.missingTokens]).toEqual([fetched, saved, missing]);
	});

	test('bounds every fetch from a store, by the earliest limit', () => {
		const stores = [store('s', ['common'], {fetchUntil: 7000}), store('t', ['shared'], {fetchUntil: 6000})];
		expect([planKeptContext({...facts, stores}).fetchUntil, planKeptContext({...facts, stores, engineHas: () => true}).fetchUntil]).toEqual([6000, 6000]);
	});
});
