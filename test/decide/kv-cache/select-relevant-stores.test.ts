import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {type KvStoreView} from '../../../src/decide/kv-cache/kv-store-view.js';
import {planKvTransfers} from '../../../src/decide/kv-cache/plan-kv-transfers.js';
import {selectRelevantStores} from '../../../src/decide/kv-cache/select-relevant-stores.js';

const partIds = ['a', 'b', 'c', 'd'] as const;
const part = fc.record({id: fc.constantFrom(...partIds), tokens: fc.nat(5000)});
const storeData = fc.record({
	held: fc.uniqueArray(fc.constantFrom(...partIds)), room: fc.nat(6000), transferMs: fc.nat(100), canRead: fc.boolean(),
});

type StoreData = {readonly held: readonly string[]; readonly room: number; readonly transferMs: number; readonly canRead: boolean};

const toView = ({held, room, transferMs, canRead}: StoreData, index: number): KvStoreView => ({
	name: `store-${index}`, address: `10.0.0.${index}:1`, has: id => held.includes(id), fetchDeadlineMs: canRead ? 1000 + index : undefined,
	canSave: tokens => tokens <= room, estimateTransferMs: tokens => transferMs + (tokens / 1000),
});

describe('the stores that a plan asks', () => {
	test('lead to the plan that all stores lead to', () => {
		fc.assert(fc.property(fc.array(storeData, {maxLength: 12}), fc.uniqueArray(part, {selector: ({id}) => id, maxLength: 4}), (data, parts) => {
			const stores = data.map((store, index) => toView(store, index));
			const plan = (asked: readonly KvStoreView[]) => planKvTransfers({
				parts, stores: asked, isInEngine: id => id === 'a', findOtherEngine: id => id === 'b' ? '10.1.0.1:1' : undefined, isBeingSaved: id => id === 'c',
				prefillTokensPerMs: 90, estimateEngineTransferMs: tokens => tokens / 500,
			});
			expect(plan(selectRelevantStores(stores, parts.slice(0, -1)))).toEqual(plan(stores));
		}), {seed: 3601, numRuns: 500});
	});

	test('are few where many hold nothing', () => {
		const stores = Array.from({length: 21}, (_, index) => toView({
			held: index === 7 ? ['a'] : [], room: 5000, transferMs: 1, canRead: true,
		}, index));
		expect(selectRelevantStores(stores, [{id: 'a', tokens: 100}, {id: 'b', tokens: 100}]).map(({name}) => name)).toEqual(['store-0', 'store-7']);
	});
});
