import {isDeepStrictEqual} from 'node:util';
import {describe, expect, test} from 'vitest';
import {PlatformUnavailableError} from '../../src/errors/platform-unavailable-error.js';
import {createRolloutLease} from '../../src/forwarding/create-rollout-lease.js';
import {type RolloutLease} from '../../src/forwarding/rollout-lease.js';
import {createEpochTracker} from '../../src/object-store/create-epoch-tracker.js';
import {createLeaseHandler} from '../../src/object-store/create-lease-handler.js';
import {createLeaseStore} from '../../src/object-store/create-lease-store.js';
import {createRelayedLeaseStore} from '../../src/object-store/create-relayed-lease-store.js';
import {type LeaseStore} from '../../src/object-store/lease-store.js';
import {type ObjectStore} from '../../src/object-store/object-store.js';
import {type StoredObject} from '../../src/object-store/stored-object.js';
import {type PeerRpc} from '../../src/peers/peer-rpc.js';

const kind = 'leases';
const leaseMs = 3000;
/** Longer than a host that has observed a lease waits before it may take it over. */
const takeoverMs = 5000;
const stepMs = 120;

/** How the host that is cut off states its writes to the other host. */
type SenderBuild = 'of this build' | 'of an earlier build';

/** The message of an earlier build: the object that was read last takes the place of its position, value included. */
const sendAsEarlierBuild = (store: LeaseStore, call: (write: unknown) => Promise<StoredObject | null>): LeaseStore => ({
	...store,
	async write(value, expected) {
		const written = await call({value, ...(expected ?? {revision: 0})});
		const found = written ?? await store.read();
		return written ?? (found && isDeepStrictEqual(found.value, value) ? found : undefined);
	},
});

/**
Three hosts and a store in virtual time. The store behaves as the platform's does: a write that changes nothing raises no revision and is
answered with the object. `cut` can be cut off from the store; it then reaches it through `other`.
*/
function startHosts(build: SenderBuild = 'of this build') {
	let now = 0;
	let isCutOff = false;
	let stored: StoredObject | undefined;
	const put = (value: unknown): StoredObject => {
		if (!isDeepStrictEqual(stored?.value, value)) {
			stored = {
				name: 'rollout', epoch: 0, revision: (stored?.revision ?? 0) + 1, value,
			};
		}

		return stored!;
	};

	const openStore = (isReachable: () => boolean): ObjectStore => {
		const call = <T>(result: () => T): T => {
			if (!isReachable()) {
				throw new PlatformUnavailableError('store is out of reach', 'no');
			}

			return result();
		};

		return {
			read: async () => call(() => stored),
			create: async (_kind, _name, value) => call(() => stored ? undefined : put(value)),
			replace: async (_kind, _name, value, {revision}) => call(() => stored?.revision === revision ? put(value) : undefined),
			list: async () => ({objects: [], epoch: 0, revision: 0}),
			watch: async () => undefined,
			stop: async () => undefined,
		};
	};

	const epochs = createEpochTracker(() => now);
	const otherStore = createLeaseStore(openStore(() => true), epochs, kind, 'rollout');
	const handle = createLeaseHandler({ownLease: otherStore, currentEpoch: epochs.current});
	const call = (async (_address: string, _method: string, params: unknown) => structuredClone(await handle(structuredClone(params) as never))) as PeerRpc;
	const relayed = createRelayedLeaseStore({
		direct: createLeaseStore(openStore(() => !isCutOff), epochs, kind, 'rollout'),
		recordEpoch: epochs.record,
		call,
		alive: () => [{peers: 'other'} as never],
		random: () => 0,
	});
	const cutStore = build === 'of this build'
		? relayed
		: sendAsEarlierBuild(relayed, async write => (await call('other', 'gateway.lease', {write} as never)).object);
	const createHost = (name: string, store: LeaseStore): RolloutLease =>
		createRolloutLease({
			self: name, run: name, store, others: () => [], leaseMs, clocks: {suspendAware: () => now, monotonic: () => now},
		});
	const hosts = {cut: createHost('cut', cutStore), other: createHost('other', otherStore), third: createHost('third', otherStore)};
	return {
		hosts,
		stored: () => stored?.value as {holder: string; token: number; renewals: number; isReleased: boolean},
		revision: () => stored?.revision,
		put,
		cutOff() {
			isCutOff = true;
		},
		/** Lets time pass in which the host has engines to update, or none any more. */
		async advance(lease: RolloutLease, durationMs: number, hasWork = true) {
			for (const endsAt = now + durationMs; now < endsAt; now += stepMs) {
				try {
					await (hasWork ? lease.acquireOrRenew(0) : lease.renewOrRelease());
				} catch {
					lease.recordStoreFailure();
				}
			}
		},
		relayed,
		otherStore,
	};
}

/** Writes through another host said that they were done while the store kept the earlier value, so that two hosts had one fencing token. */
describe('a lease that is written through another host', () => {
	test.each([
		['is in the store after it is taken over', false, true, takeoverMs, {holder: 'cut', token: 2, isReleased: false}],
		['is in the store after each renewal', true, true, 2000, {holder: 'cut', token: 1, isReleased: false}],
		['is in the store after its release', true, false, takeoverMs, {holder: 'cut', token: 1, isReleased: true}],
	])('%s', async (_name, isHolder, hasWork, durationMs, expected) => {
		const fleet = startHosts();
		await fleet.advance(isHolder ? fleet.hosts.cut : fleet.hosts.other, 600);
		const before = fleet.revision()!;
		fleet.cutOff();
		await fleet.advance(fleet.hosts.cut, durationMs, hasWork);
		expect(fleet.stored()).toMatchObject(expected);
		expect(fleet.revision()).toBeGreaterThan(before);
		expect(fleet.hosts.cut.token()).toBe(expected.isReleased ? undefined : expected.token);
	});

	test.each<readonly [SenderBuild]>([['of this build'], ['of an earlier build']])('gives no two hosts one fencing token: sender %s', async build => {
		const fleet = startHosts(build);
		await fleet.advance(fleet.hosts.other, 600);
		fleet.cutOff();
		const tokens = new Map<number, string>();
		for (const name of ['cut', 'third', 'cut', 'other', 'third', 'cut', 'third'] as const) {
			const lease = fleet.hosts[name];
			await fleet.advance(lease, takeoverMs + 600);
			const token = lease.token();
			if (token !== undefined) {
				expect(tokens.get(token) ?? name, `token ${token}`).toBe(name);
				tokens.set(token, name);
			}
		}

		expect(new Set(tokens.values())).toEqual(new Set(build === 'of this build' ? ['cut', 'other', 'third'] : ['other', 'third']));
	});

	test('is not held by a host of an earlier build, whose write is refused', async () => {
		const fleet = startHosts('of an earlier build');
		await fleet.advance(fleet.hosts.other, 600);
		fleet.cutOff();
		const before = fleet.stored();
		await fleet.advance(fleet.hosts.cut, takeoverMs);
		expect(fleet.hosts.cut.token()).toBeUndefined();
		expect(fleet.stored()).toEqual(before);
	});

	test('is sent field by field, whatever else the position holds', async () => {
		const fleet = startHosts();
		const first = fleet.put({holder: 'cut', token: 1});
		fleet.cutOff();
		const written = await fleet.relayed.write({holder: 'cut', token: 2}, first);
		expect(written?.value).toEqual({holder: 'cut', token: 2});
		expect(fleet.stored()).toEqual({holder: 'cut', token: 2});
	});

	test('counts as not written if the store raised no revision', async () => {
		const fleet = startHosts();
		const first = fleet.put({holder: 'cut', token: 1});
		expect(await fleet.otherStore.write({holder: 'cut', token: 1}, first)).toBeUndefined();
	});
});
