import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createKvStoreIndex} from '../../../src/decide/kv-cache/create-kv-store-index.js';
import {type KvEventBatch} from '../../../src/forwarding/kv-event-batch.js';

const event = fc.record({
	isAdded: fc.boolean(), scope: fc.constantFrom('m/1', 'm/2'), part: fc.constantFrom('aa', 'bb', 'cc', 'dd'), tokens: fc.constant(100),
});
const listing: KvEventBatch = {
	epoch: 1, next: 10, hasGap: false, clockMs: 0, events: [],
};

const listPartNames = (index: ReturnType<typeof createKvStoreIndex>): readonly string[] =>
	index.listParts().map(({scope, part}) => `${scope} ${part}`).toSorted();

describe('store events that a host has missed', () => {
	test('are recovered from the recent changes that another host keeps', () => {
		fc.assert(fc.property(fc.array(fc.array(event, {maxLength: 5}), {minLength: 1, maxLength: 30}), fc.nat(), (polls, pick) => {
			const upToDate = createKvStoreIndex();
			const behind = createKvStoreIndex();
			upToDate.applyUpdate(listing, 0, 0);
			behind.applyUpdate(listing, 0, 0);
			const receivedPolls = pick % polls.length;
			let next = 10;
			for (const [index, events] of polls.entries()) {
				next += events.length;
				const batch = {...listing, next, events};
				upToDate.applyUpdate(batch, index, index);
				if (index < receivedPolls) {
					behind.applyUpdate(batch, index, index);
				}
			}

			const missedChanges = upToDate.since(behind.next()!);
			expect(missedChanges).toBeDefined();
			behind.applyUpdate(missedChanges!, 99, 99);
			expect(listPartNames(behind)).toEqual(listPartNames(upToDate));
			expect(behind.next()).toBe(upToDate.next());
			expect(behind.tokens()).toBe(upToDate.tokens());
		}), {seed: 71});
	});

	test('are not available after the store has restarted', () => {
		const index = createKvStoreIndex();
		index.applyUpdate(listing, 0, 0);
		index.applyUpdate({...listing, next: 12, events: []}, 1, 1);
		index.applyUpdate({...listing, epoch: 2, next: 0}, 2, 2);
		expect(index.since(10)).toBeUndefined();
	});
});
