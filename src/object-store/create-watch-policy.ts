import {getOwnerRank} from '../decide/membership/get-owner-rank.js';
import {type GatewayAdapter} from '../forwarding/gateway-adapter.js';
import {type KnownHost} from '../reports/known-host.js';
import {memoizeLast} from '../util/memoize-last.js';
import {memoize} from '../util/memoize.js';

/** Longest wait of a watch call on a few hosts; limits how long a dead connection can hide a change from all. */
const shortWatchMs = 700;
/** The same for desired weights, which need not be in force as soon. */
const shortWeightsWatchMs = 2000;
/** The same for evacuations. A silent connection is noticed, and the change has reached all hosts, well within the five seconds that they have. */
const shortEvacuationsWatchMs = 1000;
/** Number of hosts with short waits. */
const shortWatchHosts = 2;
/** Number of hosts of a failure domain that watch a kind of objects in the store. */
const watchersPerDomain = 3;
/** Longest wait of a watch call on the other hosts; they learn of changes that a dead connection hides from the reports of peers. */
const longWatchMs = 10_000;
/** Time beyond the longest wait of a watch call after which the store counts as unresponsive. */
const watchTimeoutMarginMs = 900;

/** Dependencies of the watch policy. */
type WatchPolicyOptions = {
	/** Name and failure domain of this host. */
	readonly self: {readonly host: string; readonly domain: string};
	readonly kinds: GatewayAdapter['kinds'];
	/** Returns the other hosts with a recent report. */
	readonly alive: () => readonly KnownHost[];
	/** Whether this host has run long enough to have heard the others. */
	readonly hasSettled: () => boolean;
};

/** Which kinds of objects this host watches in the store, and how. */
type WatchPolicy = {
	/** Whether this host watches a kind itself; if not, it learns of changes from reports. */
	readonly isWatching: (kind: string) => boolean;
	/** Returns the longest wait of the next watch call, in milliseconds. */
	readonly waitMs: (kind: string) => number;
	/** Time without a response after which a host that watches counts as partitioned from the store, in milliseconds. */
	readonly partitionedAfterMs: number;
};

/** Creates the policy: in each failure domain a few hosts that reach the store watch it, and two of all with short waits. */
export function createWatchPolicy({self, kinds, alive, hasSettled}: WatchPolicyOptions): WatchPolicy {
	const shortWaitsMs: Readonly<Record<string, number>> = {
		[kinds.configuration]: shortWatchMs, [kinds.upstreams]: shortWatchMs, [kinds.weights]: shortWeightsWatchMs,
		[kinds.evacuations]: shortEvacuationsWatchMs,
	};
	const rankAmong = (peers: readonly KnownHost[]): ((kind: string) => number) => memoize(kind => getOwnerRank(self.host, peers.map(peer => peer.host), kind));
	const createRanks = memoizeLast((peers: readonly KnownHost[]) => {
		const reachingStore = peers.filter(peer => !peer.isStoreLost);
		return {inDomain: rankAmong(reachingStore.filter(peer => peer.domain === self.domain)), ofAll: rankAmong(reachingStore)};
	});

	return {
		isWatching: kind => hasSettled() && createRanks(alive()).inDomain(kind) < watchersPerDomain,
		waitMs(kind) {
			const shortWaitMs = shortWaitsMs[kind];
			return shortWaitMs !== undefined && createRanks(alive()).ofAll(kind) < shortWatchHosts ? shortWaitMs : longWatchMs;
		},
		partitionedAfterMs: longWatchMs + watchTimeoutMarginMs,
	};
}
