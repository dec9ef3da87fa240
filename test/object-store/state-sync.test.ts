import {
	afterEach, describe, expect, test,
} from 'vitest';
import {createStateSync} from '../../src/object-store/create-state-sync.js';
import {type HostStatus} from '../../src/reports/host-status.js';
import {type KindSnapshot} from '../../src/object-store/kind-snapshot.js';
import {type ObjectWatcher} from '../../src/object-store/object-watcher.js';
import {type PeerRpc} from '../../src/peers/peer-rpc.js';
import {sleep} from '../../src/util/sleep.js';
import {waitUntil} from '../support/wait-until.js';

const peers = 50;
const revision = 7;
const kind = 'configuration';
let stop: () => void = () => undefined;

afterEach(() => {
	stop();
});

const createStatus = (index: number): HostStatus => ({
	host: `host-${index}`, domain: index % 4 === 0 ? 'domain-a' : 'domain-b', peers: `10.0.0.${index}:1`, reports: '', everyMs: 100,
	linkMbps: 10, epoch: 0, contentVersions: {}, changes: {[kind]: revision}, isStoreLost: false, weightsAgeMs: undefined,
});

/** Starts a host with outdated state, among peers that respond if `responds` says so; records the calls and how many ran at once. */
function startOutdatedHost(responds: (address: string) => boolean) {
	const requested: string[] = [];
	let state: KindSnapshot = {
		objects: [], epoch: 0, revision: 1, changedAt: 1,
	};
	let open = 0;
	let maxOpen = 0;
	const watcher: ObjectWatcher = {
		kind, state: () => state, contentVersion: () => 0, lastContactAt: () => performance.now(), refresh: async () => undefined, isStoreUnreachable: () => false, stop: () => undefined,
		applySnapshot(newer) {
			state = newer;
		},
	};
	const call = (async (address: string) => {
		requested.push(address);
		open++;
		maxOpen = Math.max(maxOpen, open);
		await sleep(5);
		open--;
		if (!responds(address)) {
			throw new Error('no answer');
		}

		return {
			states: {
				[kind]: {
					changed: [], names: [], revision, changedAt: revision,
				},
			},
		};
	}) as unknown as PeerRpc;
	const sync = createStateSync({
		domain: 'domain-a', watchers: [watcher], call, alive: () => [], seeds: () => [], now: () => performance.now(), random: () => 0.5,
		partitionedAfterMs: 1e9, isWatching: () => true, weightsKind: kind, upstreamsKind: kind,
	});
	stop = sync.stop;
	return {
		sync, requested, revision: () => state.revision, maxOpen: () => maxOpen,
	};
}

const receiveStatuses = ({sync}: ReturnType<typeof startOutdatedHost>): void => {
	for (let index = 0; index < peers; index++) {
		sync.compareStatus(createStatus(index));
	}
};

describe('a host with outdated state and 50 peers with newer state', () => {
	test('pulls once, from a peer of its own failure domain', async () => {
		const host = startOutdatedHost(() => true);
		receiveStatuses(host);
		receiveStatuses(host);
		await waitUntil('the newer state', () => host.revision() === revision);
		await sleep(200);
		expect(host.requested).toHaveLength(1);
		// The last number of the IP address is the peer's index; every fourth peer is in this host's domain.
		expect(Number(host.requested[0]!.split(/[.:]/v)[3]) % 4).toBe(0);
	});

	test('pulls from one peer after another until one responds', async () => {
		let attempts = 0;
		const host = startOutdatedHost(() => ++attempts > 20);
		receiveStatuses(host);
		await waitUntil('the newer state', () => host.revision() === revision);
		expect([host.requested.length, new Set(host.requested).size, host.maxOpen()]).toEqual([21, 21, 1]);
	});
});
