import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createFairQueue} from '../../src/decide/fairness/create-fair-queue.js';
import {type FairQueueItem} from '../../src/decide/fairness/fair-queue-item.js';

const largestCost = 1000;

function makeItem(id: number, workspace: string, cost: number, weight = 1): FairQueueItem {
	return {
		id: String(id), service: 's', serviceWeight: 1, workspace, workspaceWeight: weight, cost,
	};
}

describe('the fair queue', () => {
	it('keeps the weighted tokens served to any two backlogged workspaces within a difference of twice the largest weighted cost', () => {
		const costs = fc.array(fc.integer({min: 1, max: largestCost}), {minLength: 40, maxLength: 40});
		fc.assert(fc.property(fc.array(fc.tuple(costs, fc.constantFrom(0.5, 1, 2, 4)), {minLength: 2, maxLength: 5}), workspaces => {
			const queue = createFairQueue<FairQueueItem>();
			let id = 0;
			for (const [index, [list, weight]] of workspaces.entries()) {
				for (const cost of list) {
					queue.push(makeItem(id++, `w${index}`, cost, weight));
				}
			}

			const served = workspaces.map(() => 0);
			const left = workspaces.map(([list]) => list.length);
			while (left.every(count => count > 0)) {
				const item = queue.pop()!;
				const index = Number(item.workspace.slice(1));
				served[index]! += item.cost / item.workspaceWeight;
				left[index]!--;
				const lightest = Math.min(...workspaces.map(([, weight]) => weight));
				expect(Math.max(...served) - Math.min(...served)).toBeLessThanOrEqual(2 * largestCost / lightest);
			}
		}), {seed: 41});
	});

	it('keeps the tokens served to workspaces within twice the largest cost of one another when actual costs differ from the expected ones', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.nat(2), fc.integer({min: 1, max: largestCost})), {minLength: 30, maxLength: 200}), runs => {
			const queue = createFairQueue<FairQueueItem>();
			let id = 0;
			for (let round = 0; round < 300; round++) {
				for (const workspace of ['w0', 'w1', 'w2']) {
					queue.push(makeItem(id++, workspace, 500));
				}
			}

			const served = [0, 0, 0];
			for (const [, tokens] of runs) {
				const item = queue.pop()!;
				served[Number(item.workspace.slice(1))]! += tokens;
				queue.settle(item, tokens);
				expect(Math.max(...served) - Math.min(...served)).toBeLessThanOrEqual(2 * largestCost);
			}
		}), {seed: 42});
	});

	it('gives no credit for idleness', () => {
		const queue = createFairQueue<FairQueueItem>();
		for (let id = 0; id < 100; id++) {
			queue.push(makeItem(id, 'busy', 100));
		}

		for (let count = 0; count < 50; count++) {
			queue.pop();
		}

		for (let id = 100; id < 200; id++) {
			queue.push(makeItem(id, 'late', 100));
		}

		const next = Array.from({length: 20}, () => queue.pop()!.workspace);
		expect(next.filter(workspace => workspace === 'late').length).toBeLessThanOrEqual(11);
	});

	it('divides capacity between services before workspaces', () => {
		const queue = createFairQueue<FairQueueItem>();
		for (let id = 0; id < 60; id++) {
			for (const item of [{...makeItem(id, `many-${id % 6}`, 100), service: 'large'}, {...makeItem(id + 100, 'one', 100), service: 'small'}]) {
				queue.push(item);
			}
		}

		const next = Array.from({length: 40}, () => queue.pop()!.service);
		expect(next.filter(service => service === 'small').length).toBe(20);
	});

	it('serves or removes each item at most once', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom('push', 'pop', 'remove'), fc.nat(3), fc.nat(40))), steps => {
			const queue = createFairQueue<FairQueueItem>();
			const queued = new Set<string>();
			let id = 0;
			for (const [step, workspace, pick] of steps) {
				if (step === 'push') {
					queue.push(makeItem(id, `w${workspace}`, 10));
					queued.add(String(id++));
				} else {
					const item = step === 'pop' ? queue.pop() : queue.remove(String(pick));
					expect(item === undefined || queued.delete(item.id)).toBe(true);
				}

				expect(queue.size()).toBe(queued.size);
			}
		}), {seed: 43});
	});
});
