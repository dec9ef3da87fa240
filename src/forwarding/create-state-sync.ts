import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {sleep} from '../util/sleep.js';
import {type KnownHost} from './known-host.js';
import {type HostStatus} from './host-status.js';
import {type KindSnapshot} from './kind-snapshot.js';
import {type ObjectWatcher} from './object-watcher.js';
import {type SnapshotDelta} from './snapshot-delta.js';

const pullTimeoutMs = 800;
/** Time that this host's own watch of the store has to deliver a change before a peer is asked for it. */
const watchGraceMs = 60;
/** How often this host checks whether it is partitioned from the store. */
const partitionCheckMs = 300;
/** Requests for a change are spread over this time per live host, so that the first hosts that have it are not overloaded. */
const spreadMsPerHost = 12;
const maxSpreadMs = 500;

/** Dependencies of the state sync. */
type StateSyncOptions = {
	/** Failure domain of this host. */
	readonly domain: string;
	readonly watchers: readonly ObjectWatcher[];
	/** Calls a peer. */
	readonly call: PeerRpc;
	/** Returns the hosts with a recent report. */
	readonly alive: () => readonly KnownHost[];
	/** Returns the addresses to ask while no peer is known. */
	readonly seeds: () => readonly string[];
	/** Clock in milliseconds that also advances while the machine is suspended. */
	readonly now: () => number;
	readonly random: () => number;
	/** A watcher without a response of the store for this long counts as partitioned from it, in milliseconds. */
	readonly partitionedAfterMs: number;
	/** Whether this host watches a kind in the store itself. */
	readonly isWatching: (kind: string) => boolean;
	/** Kind of the stored objects that hold the desired weights. */
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

/** Exchange of stored objects between hosts, which keeps them up to date when the store does not respond to this host. */
type StateSync = {
	/** Compares a peer's status with the state here and starts to pull from a peer if that is newer. */
	readonly compareStatus: (status: HostStatus) => void;
	/** Returns the changes since a peer's revisions, by kind; serves a peer's pull. */
	readonly answer: (revisions: Readonly<Record<string, number>>) => Readonly<Record<string, SnapshotDelta>>;
	/** Returns the revision of the last known change, by kind. */
	readonly changes: () => Readonly<Record<string, number>>;
	/** When a peer's status last confirmed the newest desired weights known here; negative infinity when none has. */
	readonly weightsConfirmedByPeerAt: () => number;
	/** When the store last confirmed the newest desired weights, directly or through a peer; `undefined` when it never did. */
	readonly weightsConfirmedAt: () => number | undefined;
	readonly stop: () => void;
};

/** Starts the exchange of state between hosts. */
export function createStateSync({domain, watchers, call, alive, seeds, now, random, partitionedAfterMs, isWatching, weightsKind}: StateSyncOptions): StateSync {
	/** Last status of the peers that reported newer state, by address. */
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
			log.warn({peer: address, error: String(error)}, 'could not pull state from a peer');
		}
	};

	const isBehind = (changes: Readonly<Record<string, number>>): boolean =>
		watchers.some(watcher => (changes[watcher.kind] ?? 0) > (watcher.state()?.revision ?? 0));

	/** Picks a random peer with newer state, in this host's failure domain if there is one. */
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

	/** Pulls from one peer after another until none has newer state. */
	const catchUp = async (): Promise<void> => {
		isPulling = true;
		await sleep(watchGraceMs + (random() * Math.min(maxSpreadMs, spreadMsPerHost * alive().length)));
		for (let address = pickAhead(); address !== undefined && !hasStopped; address = pickAhead()) {
			aheadPeers.delete(address);
			await pull(address);
		}

		isPulling = false;
	};

	/**
	Whether this host is partitioned from the store for some kind. A kind that it does not watch itself counts only while no state
	is known.
	*/
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
