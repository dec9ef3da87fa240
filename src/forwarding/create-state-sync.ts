import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {sleep} from '../util/sleep.js';
import {type KnownHost} from './known-host.js';
import {type HostStatus} from './host-status.js';
import {type KindSnapshot} from './kind-snapshot.js';
import {type ObjectWatcher} from './object-watcher.js';
import {type SnapshotDelta} from './snapshot-delta.js';

const pullTimeoutMs = 800;
/** The own watch gets this long to bring a change before a peer is asked for it. */
const watchGraceMs = 60;
const partitionCheckMs = 300;
/** Hosts that hear of a change spread their questions over this time a host, so that those asked first are not flooded. */
const spreadMsPerHost = 12;
const maxSpreadMs = 500;

/** What the state sync needs. */
type StateSyncOptions = {
	/** Failure domain of this host. */
	readonly domain: string;
	readonly watchers: readonly ObjectWatcher[];
	readonly call: PeerRpc;
	readonly alive: () => readonly KnownHost[];
	/** Addresses to ask while no peer is known. */
	readonly seeds: () => readonly string[];
	readonly now: () => number;
	readonly random: () => number;
	/** A watch without an answer of the store for this long is taken for cut off, in milliseconds. */
	readonly partitionedAfterMs: number;
	/** Whether this host follows a kind in the store itself. */
	readonly isWatching: (kind: string) => boolean;
	/** Kind of the stored objects that name weights. */
	readonly weightsKind: string;
};

function createDelta({objects, revision, changedAt}: KindSnapshot, since: number): SnapshotDelta {
	return {
		changed: objects.filter(object => object.revision > since), names: objects.map(object => object.name), revision, changedAt,
	};
}

function applyDelta(state: KindSnapshot | undefined, {changed, names, revision, changedAt}: SnapshotDelta): KindSnapshot {
	const byName = new Map([...state?.objects ?? [], ...changed].map(object => [object.name, object]));
	return {objects: names.flatMap(name => byName.get(name) ?? []), revision, changedAt};
}

/** Keeps the followed kinds up to date through peers where the store does not answer this host. */
type StateSync = {
	/** Compares a peer's status with the own state, and asks the peer for what is newer there. */
	readonly compareStatus: (status: HostStatus) => void;
	readonly answer: (revisions: Readonly<Record<string, number>>) => Readonly<Record<string, SnapshotDelta>>;
	readonly changes: () => Readonly<Record<string, number>>;
	/** When a peer's word last confirmed the newest weights; far back when none has. */
	readonly weightsConfirmedByPeerAt: () => number;
	/** When the newest weights were last confirmed by the store, directly or through a peer. */
	readonly weightsConfirmedAt: () => number | undefined;
	readonly stop: () => void;
};

/** Starts the exchange of state between hosts. */
export function createStateSync({domain, watchers, call, alive, seeds, now, random, partitionedAfterMs, isWatching, weightsKind}: StateSyncOptions): StateSync {
	/** Peers that reported newer state, with what they reported. */
	const aheadPeers = new Map<string, HostStatus>();
	let isPulling = false;
	const weightsWatcher = watchers.find(watcher => watcher.kind === weightsKind)!;
	let peerConfirmedAt = Number.NEGATIVE_INFINITY;
	let hasStopped = false;

	const pull = async (address: string): Promise<void> => {
		try {
			const revisions = Object.fromEntries(watchers.map(watcher => [watcher.kind, watcher.state()?.revision ?? 0]));
			const {states} = await call(address, 'gateway.state', {revisions}, {timeoutMs: pullTimeoutMs});
			for (const watcher of watchers) {
				const delta = states[watcher.kind];
				if (delta) {
					watcher.applySnapshot(applyDelta(watcher.state(), delta));
				}
			}
		} catch (error) {
			log.warn({peer: address, error: String(error)}, 'peer gave no state');
		}
	};

	const isBehind = (changes: Readonly<Record<string, number>>): boolean =>
		watchers.some(watcher => (changes[watcher.kind] ?? 0) > (watcher.state()?.revision ?? 0));

	/** Picks a peer that is ahead, of the own failure domain where there is one. */
	const pickAhead = (): string | undefined => {
		for (const [address, {changes}] of aheadPeers) {
			if (!isBehind(changes)) {
				aheadPeers.delete(address);
			}
		}

		const sameDomain = [...aheadPeers.values()].filter(status => status.domain === domain);
		const candidates = sameDomain.length > 0 ? sameDomain : [...aheadPeers.values()];
		return candidates[Math.floor(random() * candidates.length)]?.peers;
	};

	/** Asks one peer after the other until none is ahead. */
	const catchUp = async (): Promise<void> => {
		isPulling = true;
		await sleep(watchGraceMs + (random() * Math.min(maxSpreadMs, spreadMsPerHost * alive().length)));
		for (let address = pickAhead(); address !== undefined && !hasStopped; address = pickAhead()) {
			aheadPeers.delete(address);
			await pull(address);
		}

		isPulling = false;
	};

	/** A host that does not follow the store itself is cut off only where it has no state at all. */
	const isPartitioned = (): boolean => watchers.some(watcher => {
		const at = watcher.lastContactAt();
		return watcher.state() === undefined || (isWatching(watcher.kind) && (at === undefined || now() - at > partitionedAfterMs));
	});

	const pullWhilePartitioned = async (): Promise<void> => {
		while (!hasStopped) {
			await sleep(partitionCheckMs);
			const peers = alive().map(peer => peer.peers);
			const addresses = peers.length > 0 ? peers : seeds();
			if (isPartitioned() && addresses.length > 0) {
				await pull(addresses[Math.floor(random() * addresses.length)]!);
			}
		}
	};

	void pullWhilePartitioned();
	return {
		compareStatus(status) {
			const state = weightsWatcher.state();
			if (state && status.weightsAgeMs !== undefined && (status.changes[weightsKind] ?? 0) <= state.revision) {
				peerConfirmedAt = Math.max(peerConfirmedAt, now() - status.weightsAgeMs);
			}

			if (isBehind(status.changes)) {
				aheadPeers.set(status.peers, status);
				if (!isPulling) {
					void catchUp();
				}
			}
		},
		answer: revisions => Object.fromEntries(watchers.flatMap(watcher => {
			const state = watcher.state();
			const since = revisions[watcher.kind] ?? 0;
			return state && state.changedAt > since ? [[watcher.kind, createDelta(state, since)]] : [];
		})),
		changes: () => Object.fromEntries(watchers.map(watcher => [watcher.kind, watcher.state()?.changedAt ?? 0])),
		weightsConfirmedByPeerAt: () => peerConfirmedAt,
		weightsConfirmedAt() {
			const confirmedAt = Math.max(weightsWatcher.lastContactAt() ?? Number.NEGATIVE_INFINITY, peerConfirmedAt);
			return weightsWatcher.state() && Number.isFinite(confirmedAt) ? confirmedAt : undefined;
		},
		stop() {
			hasStopped = true;
		},
	};
}
