import {
	afterEach, describe, expect, test,
} from 'vitest';
import {createKvStoreTracker} from '../../src/forwarding/create-kv-store-tracker.js';
import {type KnownHost} from '../../src/reports/known-host.js';
import {type KvEventBatch} from '../../src/forwarding/kv-event-batch.js';
import {type Service} from '../../src/forwarding/service.js';
import {type PeerRpc} from '../../src/peers/peer-rpc.js';
import {sleep} from '../../src/util/sleep.js';

const store = {
	name: 'cache', store: {
		address: '127.0.0.1:1', domain: 'd', capacityTokens: 1e6, linkMbps: 1000, isManaged: true, firstMs: 1,
	},
} as unknown as Service;

const host = (name: string, domain: string): KnownHost => ({
	host: name, domain, peers: name, reports: name, linkMbps: 10, everyMs: 100, isStoreLost: false, heardAt: 0,
});

const listing = (epoch: number, next: number, part: string): KvEventBatch => ({
	epoch, next, hasGap: false, clockMs: 1000,
	events: [{
		isAdded: true, scope: 'm/1', part, tokens: 10,
	}],
});

let stop: () => void = () => undefined;

afterEach(() => {
	stop();
});

/**
Starts a tracker that has indexed a store's first epoch, with another host in the same failure domain and a polling host in another one.
The polling host then announces `atPoller`. Returns the tracker's index and the peers that it called.
*/
async function startTracker(atLocalPeer: KvEventBatch | null, atPoller: KvEventBatch) {
	let responses: Readonly<Record<string, KvEventBatch | null>> = {localPeer: listing(1, 500, 'old'), poller: listing(1, 500, 'old')};
	const calledPeers: string[] = [];
	const call = (async (address: string) => {
		calledPeers.push(address);
		return {news: responses[address], isWhole: true};
	}) as unknown as PeerRpc;
	const tracker = createKvStoreTracker({
		self: {
			host: 'self', domain: 'd', peers: 'self', linkMbps: 10,
		},
		engineClient: {} as never,
		call,
		others: () => [host('localPeer', 'd'), host('poller', 'e')],
		publishUpdate: () => undefined,
		hasSettled: () => false,
		clocks: {suspendAware: () => performance.now(), monotonic: () => performance.now()},
		random: () => 0,
	});
	({stop} = tracker);
	tracker.updateServices([store]);
	const announceUpdate = async (batch: KvEventBatch): Promise<void> => {
		tracker.applyUpdate({
			store: 'cache', peers: 'poller', since: -1, news: {...batch, events: []},
		});
		await sleep(20);
	};

	await announceUpdate(listing(1, 500, 'old'));
	responses = {localPeer: atLocalPeer, poller: atPoller};
	calledPeers.length = 0;
	await announceUpdate(atPoller);
	const [{partIndex}] = tracker.stores() as [ReturnType<typeof tracker.stores>[number]];
	return {partIndex, calledPeers};
}

describe('a host that receives an update with a new epoch of a store', () => {
	test.each([
		['the host of the same failure domain still has the previous epoch', listing(1, 501, 'old'), ['localPeer', 'poller']],
		['the host of the same failure domain has no content', null, ['localPeer', 'poller']],
		['the host of the same failure domain has the new epoch too', listing(2, 3, 'new'), ['localPeer']],
	])('indexes the store\'s present content when %s', async (_name, atLocalPeer, expected) => {
		const {partIndex, calledPeers} = await startTracker(atLocalPeer, listing(2, 3, 'new'));
		expect(calledPeers).toEqual(expected);
		expect(partIndex.epoch()).toBe(2);
		expect(partIndex.has('m/1', 'new')).toBe(true);
		expect(partIndex.has('m/1', 'old')).toBe(false);
	});
});
