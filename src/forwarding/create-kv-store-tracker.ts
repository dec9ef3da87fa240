import {createAbandonedSaveDetector} from '../decide/kv-cache/create-abandoned-save-detector.js';
import {createPendingSaves} from '../decide/kv-cache/create-pending-saves.js';
import {createKvStoreIndex} from '../decide/kv-cache/create-kv-store-index.js';
import {createHighBandwidthPredicate} from '../decide/membership/create-high-bandwidth-predicate.js';
import {getOwnerRankByBandwidth} from '../decide/membership/get-owner-rank-by-bandwidth.js';
import {logFailure} from '../observe/log-failure.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type Clocks} from '../util/clocks.js';
import {every} from '../util/every.js';
import {memoizeLast} from '../util/memoize-last.js';
import {memoize} from '../util/memoize.js';
import {sleep} from '../util/sleep.js';
import {type HostStatus} from '../reports/host-status.js';
import {type KnownHost} from '../reports/known-host.js';
import {createKvStorePoller} from './create-kv-store-poller.js';
import {type EngineClient} from './engine-client.js';
import {type TrackedKvStore} from './tracked-kv-store.js';
import {type KvStoreUpdate} from './kv-store-update.js';
import {type KvEventCursor} from './kv-event-cursor.js';
import {type Service} from './service.js';
import {type KvStore} from './kv-store.js';
import {type KvStoreTracker} from './kv-store-tracker.js';

/** Time between two polls of a store; long enough to batch several events, since each batch is sent to every host. */
const pollIntervalMs = 250;
/** Interval at which the timer looks for stores to poll. */
const timerIntervalMs = 100;
/**
A host polls a store that another host should poll after this long without an update, plus a delay for each rank
that it has in the order in which hosts take over the polling of the store.
*/
const takeoverDelayMs = 1200;
const takeoverDelayPerRankMs = 500;
const pullTimeoutMs = 1500;
/** Pulls are delayed at random, by up to this time for each host, so that they don't overload the polling host together. */
const pullJitterMsPerHost = 20;
const maxPullJitterMs = 400;
/** Share of a store's capacity that saves may fill. */
const maxFillShare = 0.96;
/** Stores allocate space in blocks of this many tokens, so a save may take up to one block more than its tokens. */
const blockTokens = 16;

/** Options of `createKvStoreTracker`. */
type KvStoreTrackerOptions = {
	readonly self: Pick<HostStatus, 'host' | 'domain' | 'peers' | 'linkMbps'>;
	readonly engineClient: EngineClient;
	readonly call: PeerRpc;
	/** Lists the other hosts that are alive. */
	readonly others: () => readonly KnownHost[];
	readonly publishUpdate: (news: KvStoreUpdate) => void;
	/** Whether this host has run long enough to have reports from the others. */
	readonly hasSettled: () => boolean;
	readonly clocks: Clocks;
	readonly random: () => number;
};

/** Starts to track the KV stores. One host polls each store and publishes updates; the others poll only if no updates arrive. */
export function createKvStoreTracker({
	self, engineClient, call, others, publishUpdate, hasSettled, clocks, random,
}: KvStoreTrackerOptions): KvStoreTracker {
	const now = clocks.monotonic;
	const trackedStores = new Map<string, TrackedKvStore>();
	const activePulls = new Set<string>();

	const poll = createKvStorePoller({
		peers: self.peers, engineClient, publishUpdate, clocks,
	});

	const createRankLookup = memoizeLast((hosts: readonly KnownHost[]) => memoize((store: string) => getOwnerRankByBandwidth(self, hosts, store)));
	const getRank = (store: string): number => createRankLookup(others())(store);

	const shouldPoll = (entry: TrackedKvStore, at: number): boolean => {
		const rank = getRank(entry.kept.name);
		return (rank === 0 && hasSettled()) || at - entry.lastUpdateAt > takeoverDelayMs + (rank * takeoverDelayPerRankMs);
	};

	const pollOnce = async (entry: TrackedKvStore): Promise<void> => {
		entry.isPolling = true;
		await poll(entry);
		entry.isPolling = false;
		entry.nextPollAt = now() + pollIntervalMs;
	};

	/** One timer serves all stores, since a host of a large deployment tracks dozens of them. */
	const stopPolling = every(timerIntervalMs, 'polls of KV stores', () => {
		const at = now();
		for (const entry of trackedStores.values()) {
			if (!entry.isPolling && at >= entry.nextPollAt && shouldPoll(entry, at)) {
				void pollOnce(entry);
			}
		}
	});

	const pickLocalPeerAddress = (): string | undefined => {
		const sameDomainHosts = others().filter(host => host.domain === self.domain);
		const highBandwidthHosts = sameDomainHosts.filter(createHighBandwidthPredicate(sameDomainHosts));
		return highBandwidthHosts[Math.floor(random() * highBandwidthHosts.length)]?.peers;
	};

	const isUpToDate = ({kept: {partIndex}}: TrackedKvStore, {epoch, next}: KvEventCursor): boolean =>
		partIndex.epoch() === epoch && (partIndex.next() ?? Number.NEGATIVE_INFINITY) >= next;

	/** Pulls the missing events from one host; returns whether the index has then reached the announced position. */
	const pullFrom = async (entry: TrackedKvStore, address: string, announced: KvEventCursor): Promise<boolean> => {
		const {name, partIndex} = entry.kept;
		const sentAt = clocks.suspendAware();
		const [epoch, next] = [partIndex.epoch(), partIndex.next()];
		const ownPosition = epoch === undefined || next === undefined ? undefined : {epoch, next};
		const {news, isWhole} = await call(address, 'gateway.kept', {store: name, ...ownPosition && {known: ownPosition}}, {timeoutMs: pullTimeoutMs});
		const isNewer = news?.epoch === announced.epoch && !isUpToDate(entry, news);
		// If the index has advanced during the call, only a full listing still applies.
		if (isNewer && (isWhole || partIndex.next() === next)) {
			if (isWhole) {
				partIndex.invalidate();
			}

			partIndex.applyUpdate(news, sentAt, now());
		}

		return isUpToDate(entry, announced);
	};

	/** Pulls from a high-bandwidth host of the same failure domain first, then from the host that polls the store. */
	const pull = async (entry: TrackedKvStore, poller: string, announced: KvEventCursor): Promise<void> => {
		const {name} = entry.kept;
		if (activePulls.has(name)) {
			return;
		}

		activePulls.add(name);
		await sleep(random() * Math.min(maxPullJitterMs, pullJitterMsPerHost * others().length));
		const localPeer = pickLocalPeerAddress();
		for (const address of localPeer === undefined || localPeer === poller ? [poller] : [localPeer, poller]) {
			try {
				if (await pullFrom(entry, address, announced)) {
					break;
				}
			} catch (error) {
				logFailure(error, {store: name, peer: address}, 'pulling the content of a KV store from a peer failed');
			}
		}

		activePulls.delete(name);
	};

	const addStore = (name: string, store: NonNullable<Service['store']>): void => {
		const partIndex = createKvStoreIndex();
		const entry: TrackedKvStore = {
			kept: {
				name, store, partIndex,
				canSave: tokens => partIndex.canSave(now())
					&& partIndex.tokens() + entry.pendingSaves.sweep(partIndex.has, now()) + tokens + blockTokens <= store.capacityTokens * maxFillShare,
			},
			pendingSaves: createPendingSaves(),
			findAbandonedSaves: createAbandonedSaveDetector(),
			lastUpdateAt: now(),
			lastListedAt: now(),
			hasUnfinishedSaves: false,
			isAnswering: false,
			isPolling: false,
			nextPollAt: now(),
		};
		trackedStores.set(name, entry);
	};

	return {
		updateServices(services) {
			const configured = new Map(services.flatMap(service => service.store?.isManaged ? [[service.name, service.store] as const] : []));
			for (const [name, entry] of trackedStores) {
				if (configured.get(name)?.address !== entry.kept.store.address) {
					trackedStores.delete(name);
				}
			}

			for (const [name, store] of configured) {
				if (!trackedStores.has(name)) {
					addStore(name, store);
				}
			}
		},
		isPoller: name => getRank(name) === 0,
		stores: () => [...trackedStores.values()].map(entry => entry.kept),
		applyUpdate({store, peers: poller, since, news}) {
			const entry = trackedStores.get(store);
			if (!entry) {
				return;
			}

			entry.lastUpdateAt = now();
			const {partIndex} = entry.kept;
			if (!news) {
				partIndex.invalidate();
				return;
			}

			const next = news.epoch === partIndex.epoch() ? partIndex.next() : undefined;
			if (next !== undefined && next > news.next) {
				return;
			}

			if (next === undefined || since < 0 || since > next) {
				void pull(entry, poller, news);
			} else {
				partIndex.applyUpdate(news, clocks.suspendAware(), now());
			}
		},
		listEvents(store, known) {
			const partIndex = trackedStores.get(store)?.kept.partIndex;
			const next = partIndex?.next();
			if (!partIndex || next === undefined) {
				return {news: null, isWhole: true};
			}

			const changes = known?.epoch === partIndex.epoch() ? partIndex.since(known!.next) : undefined;
			return changes
				? {news: changes, isWhole: false}
				: {
					isWhole: true,
					news: {
						epoch: partIndex.epoch()!, next, hasGap: false, clockMs: partIndex.clockMs(),
						events: partIndex.listParts().map(part => ({isAdded: true, ...part})),
					},
				};
		},
		recordSave(store, scope, part, tokens) {
			trackedStores.get(store)?.pendingSaves.record(scope, part, tokens, now());
		},
		isBeingSaved: (scope, part) => [...trackedStores.values()].some(({pendingSaves}) => pendingSaves.has(scope, part, now())),
		stop() {
			stopPolling();
		},
	};
}
