import {describe, expect, test} from 'vitest';
import {planKvTransfers} from '../../../src/decide/kv-cache/plan-kv-transfers.js';
import {type KvStoreView} from '../../../src/decide/kv-cache/kv-store-view.js';

const parts = [{id: 'common', tokens: 500}, {id: 'shared', tokens: 9000}, {id: 'own', tokens: 3000}];
const store = (name: string, held: readonly string[], changed: Partial<KvStoreView> = {}): KvStoreView => ({
	name, address: `${name}:1`, has: part => held.includes(part), fetchDeadlineMs: 5000, canSave: () => true, estimateTransferMs: tokens => tokens / 1000, ...changed,
});
const never = (): boolean => false;
const noEngine = (): string | undefined => undefined;
const defaultInput: Parameters<typeof planKvTransfers>[0] = {
	parts, isInEngine: never, findOtherEngine: noEngine, stores: [], isBeingSaved: never, prefillTokensPerMs: 90, estimateEngineTransferMs: tokens => tokens / 2000,
};
const none = [undefined, undefined, undefined];
const full = store('s', [], {canSave: () => false});
const unreadable = store('s', ['common', 'shared'], {fetchDeadlineMs: undefined});
const slower = store('s', ['shared'], {estimateTransferMs: () => 9});
const slow = store('s', ['common', 'shared'], {estimateTransferMs: tokens => tokens});

describe('the plan of KV transfers', () => {
	test.each([
		['no store', defaultInput, none, none, 12_500],
		['an empty store', {...defaultInput, stores: [store('s', [])]}, none, ['s:1', 's:1', undefined], 12_500],
		['a store that holds all', {...defaultInput, stores: [store('s', ['common', 'shared', 'own'])]}, ['s:1', 's:1', undefined], none, 3000],
		['a store from which nothing may be fetched', {...defaultInput, stores: [unreadable]}, none, none, 12_500],
		['a full store', {...defaultInput, stores: [full]}, none, none, 12_500],
		['a full store and one with free space', {...defaultInput, stores: [full, store('t', [])]}, none, ['t:1', 't:1', undefined], 12_500],
		['a store that is far too slow', {...defaultInput, stores: [slow]}, none, none, 12_500],
		['two stores, the faster of which is chosen', {
			...defaultInput, stores: [slower, store('t', ['shared'], {estimateTransferMs: () => 8})],
		}, [undefined, 't:1', undefined], ['s:1', undefined, undefined], 3500],
		['another engine that prefilled a part recently', {...defaultInput, findOtherEngine: (part: string) => part === 'shared' ? 'e:1' : undefined}, [undefined, 'e:1', undefined], none, 3500],
		['an engine that holds all parts', {...defaultInput, isInEngine: () => true}, none, none, 3000],
		['a pending save', {...defaultInput, stores: [store('s', [])], isBeingSaved: () => true}, none, none, 12_500],
	] as const)('with %s', (_, given, fetched, saved, missing) => {
		const plan = planKvTransfers(given);
		expect([plan.parts.map(part => part.fetchFrom), plan.parts.map(part => part.saveTo), plan.missingTokens]).toEqual([fetched, saved, missing]);
	});

	test('bounds every fetch from a store by the earliest deadline', () => {
		const stores = [store('s', ['common'], {fetchDeadlineMs: 7000}), store('t', ['shared'], {fetchDeadlineMs: 6000})];
		expect([planKvTransfers({...defaultInput, stores}).fetchDeadlineMs, planKvTransfers({...defaultInput, stores, isInEngine: () => true}).fetchDeadlineMs]).toEqual([6000, 6000]);
	});
});
