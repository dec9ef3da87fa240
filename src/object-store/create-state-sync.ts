import {comparePositions} from '../decide/object-store/compare-positions.js';
import {logFailure} from '../observe/log-failure.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {sleepUntilTick} from '../util/sleep-until-tick.js';
import {sleep} from '../util/sleep.js';
import {type KnownHost} from '../reports/known-host.js';
import {type HostStatus} from '../reports/host-status.js';
import {type KindSnapshot} from './kind-snapshot.js';
import {type ObjectWatcher} from './object-watcher.js';
import {type SnapshotDelta} from './snapshot-delta.js';
import {type StateQuery} from './state-query.js';
import {type StateStatus} from './state-status.js';

const pullTimeoutMs = 800;
/** Time that this host's own watch of the store has to deliver a change before a peer is asked for it. */
const watchGraceMs = 60;
/** How often this host checks whether it is partitioned from the store. */
const partitionCheckMs = 300;
/** Requests for a change are spread over this time per live host, so that the first hosts that have it are not overloaded. */
const spreadMsPerHost = 12;
const maxSpreadMs = 500;
/** Changes that follow each other within this time for each live host are requested together. */
const batchMsPerHost = 3;
const maxBatchMs = 600;

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
	/** Kinds of the stored objects that hold the desired weights and the upstreams. */
	readonly weightsKind: string;
	readonly upstreamsKind: string;
};

/** @param since - Revision in the snapshot's epoch; 0 for all objects. */
function createDelta({objects, epoch, revision, changedAt}: KindSnapshot, since: number): SnapshotDelta {
	const changed = objects.filter(object => since === 0 || comparePositions(object, {epoch, revision: since}) > 0);
	return {
		changed, names: objects.map(object => object.name), epoch, revision, changedAt,
	};
}

function applyDelta(state: KindSnapshot | undefined, {changed, names, epoch = 0, revision, changedAt}: SnapshotDelta): KindSnapshot {
	const received = changed.map(object => ({...object, epoch: object.epoch ?? epoch}));
	const byName = new Map([...state?.objects ?? [], ...received].map(object => [object.name, object]));
	return {
		objects: names.flatMap(name => byName.get(name) ?? []), epoch, revision, changedAt,
	};
}

/** Exchange of stored objects between hosts, which keeps them up to date when the store does not respond to this host. */
type StateSync = {
	/** Compares a peer's status with the state here and starts to pull from a peer if that is newer. */
	readonly compareStatus: (status: HostStatus) => void;
	/** Takes from a peer what it knows beyond what is known here; resolves also if it does not answer. */
	readonly pull: (address: string) => Promise<void>;
	/** Returns the changes since what a peer knows, by kind; serves a peer's pull. */
	readonly answer: (query: StateQuery) => Readonly<Record<string, SnapshotDelta>>;
	/** Returns what this host knows, for its reports to other hosts. */
	readonly status: () => StateStatus;
	/** When a peer's status last confirmed the newest desired weights known here; negative infinity when none has. */
	readonly weightsConfirmedByPeerAt: () => number;
	/** When the store last confirmed the newest desired weights, directly or through a peer; `undefined` when it never did. */
	readonly weightsConfirmedAt: () => number | undefined;
	/** The same for the list of upstreams. */
	readonly upstreamsConfirmedAt: () => number | undefined;
	readonly stop: () => void;
};

/** Starts the exchange of state between hosts. */
export function createStateSync({domain, watchers, call, alive, seeds, now, random, partitionedAfterMs, isWatching, weightsKind, upstreamsKind}: StateSyncOptions): StateSync {
	/** Last status of the peers that reported newer state, by address. */
	const aheadPeers = new Map<string, HostStatus>();
	let isPulling = false;
	let hasStopped = false;

	const getEpoch = (): number => Math.max(0, ...watchers.map(watcher => watcher.state()?.epoch ?? 0));

	/** Maps the kinds to a number of their snapshots in the newest epoch; 0 for kinds that are not yet known in it. */
	const mapSnapshots = (epoch: number, get: (state: KindSnapshot) => number): Readonly<Record<string, number>> =>
		Object.fromEntries(watchers.map(watcher => {
			const state = watcher.state();
			return [watcher.kind, state?.epoch === epoch ? get(state) : 0];
		}));

	const getContentVersions = (): Readonly<Record<string, number>> => Object.fromEntries(watchers.flatMap(watcher => {
		const version = watcher.contentVersion();
		return version > 0 ? [[watcher.kind, version]] : [];
	}));

	const createQuery = (): Required<StateQuery> => {
		const epoch = getEpoch();
		return {epoch, revisions: mapSnapshots(epoch, state => state.revision), contentVersions: getContentVersions()};
	};

	const pull = async (address: string): Promise<void> => {
		try {
			const {states} = await call(address, 'gateway.state', createQuery(), {timeoutMs: pullTimeoutMs});
			for (const watcher of watchers) {
				const delta = states[watcher.kind];
				if (delta) {
					watcher.applySnapshot(applyDelta(watcher.state(), delta));
				}
			}
		} catch (error) {
			logFailure(error, {peer: address}, 'could not pull state from a peer');
		}
	};

	const hasNewerPosition = ({epoch, changes}: StateStatus, watcher: ObjectWatcher): boolean => {
		const revision = changes[watcher.kind] ?? 0;
		const state = watcher.state();
		return revision > 0 && (state === undefined || comparePositions({epoch, revision}, state) > 0);
	};

	const hasNewerContent = ({contentVersions}: StateStatus, watcher: ObjectWatcher): boolean =>
		(contentVersions[watcher.kind] ?? 0) > watcher.contentVersion();

	/** Follows when the store last confirmed the objects of a kind, directly or through a peer that reports the age of its own confirmation. */
	const createConfirmation = (kind: string, getAgeMs: (status: HostStatus) => number | undefined) => {
		const watcher = watchers.find(each => each.kind === kind);
		let byPeerAt = Number.NEGATIVE_INFINITY;
		return {
			byPeerAt: () => byPeerAt,
			recordStatus(status: HostStatus) {
				const ageMs = getAgeMs(status);
				const knowsNothingNewer = watcher && !hasNewerPosition(status, watcher) && !hasNewerContent(status, watcher);
				if (watcher?.state() && ageMs !== undefined && knowsNothingNewer) {
					byPeerAt = Math.max(byPeerAt, now() - ageMs);
				}
			},
			at() {
				const confirmedAt = Math.max(watcher?.lastContactAt() ?? Number.NEGATIVE_INFINITY, byPeerAt);
				return watcher?.state() && Number.isFinite(confirmedAt) ? confirmedAt : undefined;
			},
		};
	};

	const weights = createConfirmation(weightsKind, status => status.weightsAgeMs);
	const upstreams = createConfirmation(upstreamsKind, status => status.upstreamsAgeMs);

	const isBehind = (status: StateStatus): boolean =>
		watchers.some(watcher => hasNewerPosition(status, watcher) || hasNewerContent(status, watcher));

	/** Picks a random peer with newer state, in this host's failure domain if there is one. */
	const pickAhead = (): string | undefined => {
		for (const [address, status] of aheadPeers) {
			if (!isBehind(status)) {
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
		const hosts = alive().length;
		await sleep(watchGraceMs + Math.min(maxBatchMs, batchMsPerHost * hosts) + (random() * Math.min(maxSpreadMs, spreadMsPerHost * hosts)));
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
			await sleepUntilTick(partitionCheckMs);
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
			weights.recordStatus(status);
			upstreams.recordStatus(status);
			if (isBehind(status)) {
				aheadPeers.set(status.peers, status);
				if (!isPulling) {
					void catchUp();
				}
			}
		},
		pull,
		answer: ({epoch = 0, revisions, contentVersions = {}}) => Object.fromEntries(watchers.flatMap(watcher => {
			const state = watcher.state();
			if (!state) {
				return [];
			}

			if (watcher.contentVersion() > (contentVersions[watcher.kind] ?? 0)) {
				return [[watcher.kind, createDelta(state, 0)]];
			}

			const since = state.epoch === epoch ? revisions[watcher.kind] ?? 0 : 0;
			return state.epoch >= epoch && state.changedAt > since ? [[watcher.kind, createDelta(state, since)]] : [];
		})),
		status() {
			const epoch = getEpoch();
			return {epoch, changes: mapSnapshots(epoch, state => state.changedAt), contentVersions: getContentVersions()};
		},
		weightsConfirmedByPeerAt: weights.byPeerAt,
		weightsConfirmedAt: weights.at,
		upstreamsConfirmedAt: upstreams.at,
		stop() {
			hasStopped = true;
		},
	};
}
