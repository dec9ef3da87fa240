import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createKvStoreIndex} from '../../../src/decide/kept/create-kv-store-index.js';
import {type KvEventBatch} from '../../../src/forwarding/kv-event-batch.js';

const event = fc.record({
	isAdded: fc.boolean(), scope: fc.constantFrom('m/1', 'm/2'), part: fc.constantFrom('aa', 'bb', 'cc', 'dd'), tokens: fc.constant(100),
});
const listing: KvEventBatch = {
	epoch: 1, next: 10, hasGap: false, clockMs: 0, events: [],
};

const show = (directory: ReturnType<typeof createKvStoreIndex>): readonly string[] =>
	directory.listParts().map(({scope, part}) => `${scope} ${part}`).toSorted();

describe('what a host missed of a store', () => {
	test('is made up for from the changes that another host remembers', () => {
		fc.assert(fc.property(fc.array(fc.array(event, {maxLength: 5}), {minLength: 1, maxLength: 30}), fc.nat(), (polls, pick) => {
			const whole = createKvStoreIndex();
			const behind = createKvStoreIndex();
			whole.applyUpdate(listing, 0, 0);
			behind.applyUpdate(listing, 0, 0);
			const heard = pick % polls.length;
			let next = 10;
			for (const [index, events] of polls.entries()) {
				next += events.length;
				const news = {...listing, next, events};
				whole.applyUpdate(news, index, index);
				if (index < heard) {
					behind.applyUpdate(news, index, index);
				}
			}

			const missed = whole.since(behind.next()!);
			expect(missed).toBeDefined();
			behind.applyUpdate(missed!, 99, 99);
			expect(show(behind)).toEqual(show(whole));
			expect(behind.next()).toBe(whole.next());
			expect(behind.tokens()).toBe(whole.tokens());
		}), {seed: 71});
	});

	test('has to be listed where the store has started again since', () => {
		const directory = createKvStoreIndex();
		directory.applyUpdate(listing, 0, 0);
		directory.applyUpdate({...listing, next: 12, events: []}, 1, 1);
		directory.applyUpdate({...listing, epoch: 2, next: 0}, 2, 2);
		expect(directory.since(10)).toBeUndefined();
	});
});
