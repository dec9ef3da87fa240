import {describe, expect, test} from 'vitest';
import {createRolloutLease} from '../../src/forwarding/create-rollout-lease.js';
import {type LeaseStore} from '../../src/object-store/lease-store.js';
import {type StoredObject} from '../../src/object-store/stored-object.js';

const stepMs = 120;
const simulatedMs = 15_000;
const names = Array.from({length: 84}, (_, index) => `h-${index}`);

/** Starts hosts in virtual time that all have engines to update, and so compete for the lease. */
function startHosts() {
	let now = 0;
	let calls = 0;
	let isDown = false;
	let object: StoredObject | undefined;
	const store: LeaseStore = {
		epoch: () => ({number: 0, since: 0}),
		async read() {
			calls++;
			if (isDown) {
				throw new Error('store is down');
			}

			return object;
		},
		async write(value, expected) {
			calls++;
			if (isDown) {
				throw new Error('store is down');
			}

			if (object?.revision !== expected?.revision) {
				return undefined;
			}

			object = {
				name: 'rollout', epoch: 0, revision: (object?.revision ?? 0) + 1, value,
			};
			return object;
		},
	};
	const stoppedHosts = new Set<string>();
	const hosts = names.map(name => ({
		name,
		lease: createRolloutLease({
			self: name, run: name, store, others: () => names.filter(other => other !== name && !stoppedHosts.has(other)), leaseMs: 3000, clocks: {suspendAware: () => now, monotonic: () => now},
		}),
	}));
	return {
		stoppedHosts,
		calls: () => calls,
		setDown(down: boolean) {
			isDown = down;
		},
		holders: () => hosts.filter(({name, lease}) => !stoppedHosts.has(name) && lease.token() !== undefined).map(({name}) => name),
		async advance(durationMs: number) {
			for (const endsAt = now + durationMs; now < endsAt; now += stepMs) {
				for (const {name, lease} of hosts) {
					if (!stoppedHosts.has(name)) {
						try {
							await lease.acquireOrRenew(0);
						} catch {
							lease.recordStoreFailure();
						}
					}
				}
			}
		},
	};
}

describe('the roll-out lease among 84 hosts', () => {
	test.each([
		['while it is held', false],
		['while the store is down', true],
	])('takes less than 400 calls to the store in 15 s %s', async (_name, isDown) => {
		const hosts = startHosts();
		await hosts.advance(3000);
		hosts.setDown(isDown);
		const before = hosts.calls();
		await hosts.advance(simulatedMs);
		// One call per host every two seconds would be 630 calls.
		expect(hosts.calls() - before).toBeLessThan(400);
	});

	test('passes to another host within 6 s after its holder stopped', async () => {
		const hosts = startHosts();
		await hosts.advance(3000);
		const [holder] = hosts.holders();
		hosts.stoppedHosts.add(holder!);
		await hosts.advance(6000);
		expect(hosts.holders()).toHaveLength(1);
	});
});
