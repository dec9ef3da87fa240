import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createRolloutLease} from '../../src/forwarding/create-rollout-lease.js';
import {type LeaseStore} from '../../src/object-store/lease-store.js';
import {type StoredObject} from '../../src/object-store/stored-object.js';
import {createEpochTracker} from '../../src/object-store/create-epoch-tracker.js';

const leaseMs = 3000;
const stepMs = 120;
const names = ['a', 'b', 'c', 'd'];

/** An event of a run: time passes, the store loses its last writes, or a host is cut off from the store or reaches it again. */
type RunEvent = {readonly advanceMs: number} | {readonly lostWrites: number} | {readonly cut: string} | {readonly heal: string};

/** Runs hosts in virtual time that all have engines to update, and returns each moment at which one could send an order. */
async function runHosts(events: readonly RunEvent[]) {
	let now = 0;
	let epoch = 1;
	/** The lease object after each write; the first entry is the time before it exists. */
	let history: Array<StoredObject | undefined> = [undefined];
	const cutOff = new Set<string>();
	const orders: Array<{readonly at: number; readonly name: string; readonly token: number}> = [];
	const createStore = (name: string): LeaseStore => {
		const epochs = createEpochTracker(() => now);
		const contact = (): number => {
			if (cutOff.has(name)) {
				throw new Error('store is out of reach');
			}

			return epochs.record(epoch);
		};

		return {
			epoch: epochs.known,
			async read() {
				const stated = contact();
				const object = history.at(-1);
				return object && {...object, epoch: stated};
			},
			async write(value, expected) {
				if (expected && expected.epoch !== epochs.current()) {
					return undefined;
				}

				const stated = contact();
				if (history.at(-1)?.revision !== expected?.revision) {
					return undefined;
				}

				const object = {
					name: 'rollout', epoch: stated, revision: history.length, value,
				};
				history.push(object);
				return object;
			},
		};
	};

	const hosts = names.map(name => ({
		name,
		lease: createRolloutLease({
			self: name, run: name, store: createStore(name), others: () => names.filter(other => other !== name), leaseMs, clocks: {suspendAware: () => now, monotonic: () => now},
		}),
	}));

	const advance = async (durationMs: number): Promise<void> => {
		for (const endsAt = now + durationMs; now < endsAt; now += stepMs) {
			for (const {name, lease} of hosts) {
				try {
					await lease.acquireOrRenew(0);
				} catch {
					lease.recordStoreFailure();
				}

				const token = lease.token();
				if (token !== undefined) {
					lease.recordOrder();
					orders.push({at: now, name, token});
				}
			}
		}
	};

	for (const event of events) {
		if ('advanceMs' in event) {
			await advance(event.advanceMs);
		} else if ('lostWrites' in event) {
			epoch++;
			history = history.slice(0, Math.max(1, history.length - event.lostWrites));
		} else if ('cut' in event) {
			cutOff.add(event.cut);
		} else {
			cutOff.delete(event.heal);
		}
	}

	cutOff.clear();
	const before = orders.length;
	await advance(15_000);
	return {orders, hasHolderAtEnd: orders.length > before};
}

function expectOneHolderAtATime(orders: Awaited<ReturnType<typeof runHosts>>['orders']): void {
	const holderByToken = new Map<number, string>();
	for (const [index, {at, name, token}] of orders.entries()) {
		expect(holderByToken.get(token) ?? name, `token ${token} at ${at} ms`).toBe(name);
		holderByToken.set(token, name);
		const previous = orders[index - 1];
		if (previous) {
			expect(token, `at ${at} ms`).toBeGreaterThanOrEqual(previous.token);
		}

		if (previous && previous.name !== name) {
			expect(at - previous.at, `${previous.name} and ${name} take turns at ${at} ms`).toBeGreaterThan(leaseMs);
		}
	}
}

describe('the roll-out lease after the store came back from an older copy', () => {
	test.each<readonly [string, readonly RunEvent[]]>([
		['that has forgotten the lease', [{advanceMs: 8000}, {lostWrites: 1000}, {advanceMs: 8000}]],
		['that shows an earlier holder', [
			{advanceMs: 8000}, {cut: 'a'}, {cut: 'b'}, {cut: 'c'}, {advanceMs: 12_000}, {heal: 'a'}, {heal: 'b'}, {heal: 'c'}, {lostWrites: 25}, {advanceMs: 8000},
		]],
		['that lacks the last renewal only', [{advanceMs: 8000}, {lostWrites: 1}, {advanceMs: 500}, {lostWrites: 1}, {advanceMs: 8000}]],
		['that has every write', [{advanceMs: 8000}, {lostWrites: 0}, {advanceMs: 8000}]],
		['while the holder is cut off', [{advanceMs: 8000}, ...names.slice(0, 3).map(cut => ({cut})), {lostWrites: 5}, {advanceMs: 500}, ...names.map(heal => ({heal})), {advanceMs: 8000}]],
	])('has one holder at a time, whose token is its own and the highest: a copy %s', async (_name, events) => {
		const {orders, hasHolderAtEnd} = await runHosts(events);
		expectOneHolderAtATime(orders);
		expect(hasHolderAtEnd).toBe(true);
	});

	test('has one holder at a time, whatever is lost and who is cut off', async () => {
		const event = fc.oneof(
			fc.record({advanceMs: fc.integer({min: 120, max: 9000})}),
			fc.record({lostWrites: fc.integer({min: 0, max: 30})}),
			fc.record({cut: fc.constantFrom(...names)}),
			fc.record({heal: fc.constantFrom(...names)}),
		);
		await fc.assert(fc.asyncProperty(fc.array(event, {maxLength: 14}), async events => {
			const {orders, hasHolderAtEnd} = await runHosts(events);
			expectOneHolderAtATime(orders);
			expect(hasHolderAtEnd).toBe(true);
		}), {seed: 25, numRuns: 150});
	});
});
