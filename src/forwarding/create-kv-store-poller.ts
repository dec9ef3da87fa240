import {diffListing} from '../decide/kv-cache/diff-listing.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {type Clocks} from '../util/clocks.js';
import {type EngineClient} from './engine-client.js';
import {type TrackedKvStore} from './tracked-kv-store.js';
import {type KvStoreUpdate} from './kv-store-update.js';
import {type KvEventBatch} from './kv-event-batch.js';

/** Longest time that a store holds a poll open until it has new events. */
const eventWaitMs = 250;
/** Number of events that fit in one datagram; with more, the other hosts pull the full listing. */
const maxPublishedEvents = 150;
/** Least time between two listings of a store for saves without an end event: the event may be lost or the save abandoned. */
const minRelistIntervalMs = 10_000;

/** Options of `createKvStorePoller`. */
type KvStorePollerOptions = {
	/** RPC address of this host, `IP:PORT`. */
	readonly peers: string;
	readonly engineClient: EngineClient;
	readonly publishUpdate: (update: KvStoreUpdate) => void;
	readonly clocks: Clocks;
};

/** Creates the function that polls a KV store once for changes and publishes them to the other hosts. */
export function createKvStorePoller({peers: rpcAddress, engineClient, publishUpdate, clocks}: KvStorePollerOptions) {
	const now = clocks.monotonic;
	/** Frees the space of abandoned saves; no host reads them, since they were never listed as complete. */
	const freeAbandonedSaves = async (entry: TrackedKvStore, {epoch, unfinished = []}: KvEventBatch): Promise<void> => {
		const abandonedSaves = entry.findAbandonedSaves(unfinished, now());
		if (abandonedSaves.length > 0) {
			const isFreed = await engineClient.freeKvParts(entry.kept.store.address, epoch, abandonedSaves);
			log.info({
				store: entry.kept.name, epoch, parts: abandonedSaves.length,
				tokens: abandonedSaves.reduce((sum, {reservedTokens}) => sum + reservedTokens, 0), freed: isFreed,
			}, 'space of abandoned KV cache saves freed');
		}
	};

	/** Lists a store that was tracked by its events, and publishes the changes that the events missed. */
	const relist = async (entry: TrackedKvStore, since: number): Promise<void> => {
		const {name, store: {address}, partIndex} = entry.kept;
		const sentAt = clocks.suspendAware();
		const listing = await engineClient.listKvParts(address);
		const isSameEpoch = listing.epoch === partIndex.epoch();
		const events = isSameEpoch ? diffListing(partIndex.listParts(), listing.events) : [];
		partIndex.invalidate();
		partIndex.applyUpdate(listing, sentAt, now());
		entry.lastListedAt = now();
		entry.hasUnfinishedSaves = (listing.unfinished ?? []).length > 0;
		log.info({
			store: name, epoch: listing.epoch, tokens: partIndex.tokens(), missed: events.length, unfinished: listing.unfinished?.length,
		}, 'KV store listed again');
		const canPublishEvents = isSameEpoch && events.length <= maxPublishedEvents;
		publishUpdate({
			store: name, peers: rpcAddress, since: canPublishEvents ? since : -1, news: {...listing, events: canPublishEvents ? events : [], unfinished: undefined},
		});
		await freeAbandonedSaves(entry, listing);
	};

	const pollEvents = async (entry: TrackedKvStore, since: number | undefined): Promise<void> => {
		const {name, store: {address}, partIndex} = entry.kept;
		const sentAt = clocks.suspendAware();
		const batch = since === undefined ? await engineClient.listKvParts(address) : await engineClient.pollKvEvents(address, since, eventWaitMs);
		partIndex.applyUpdate(batch, sentAt, now());
		const canPublishEvents = since !== undefined && batch.events.length <= maxPublishedEvents;
		publishUpdate({
			store: name, peers: rpcAddress, since: since ?? -1, news: {...batch, events: canPublishEvents ? batch.events : [], unfinished: undefined},
		});
	};

	const shouldRelist = (entry: TrackedKvStore): boolean => {
		entry.pendingSaves.sweep(entry.kept.partIndex.has, now());
		entry.hasUnfinishedSaves = entry.pendingSaves.consumeLossFlag() || entry.hasUnfinishedSaves;
		return entry.hasUnfinishedSaves && now() - entry.lastListedAt > minRelistIntervalMs;
	};

	return async (entry: TrackedKvStore): Promise<void> => {
		const {name, partIndex} = entry.kept;
		const since = partIndex.next();
		try {
			await (since !== undefined && shouldRelist(entry) ? relist(entry, since) : pollEvents(entry, since));
			entry.lastUpdateAt = now();
			if (!entry.isAnswering) {
				entry.isAnswering = true;
				log.info({store: name, epoch: partIndex.epoch(), tokens: partIndex.tokens()}, 'KV store responds');
			}
		} catch (error) {
			partIndex.invalidate();
			if (entry.isAnswering) {
				entry.isAnswering = false;
				logFailure(error, {store: name}, 'KV store does not respond');
				publishUpdate({
					store: name, peers: rpcAddress, since: -1, news: undefined,
				});
			}
		}
	};
}
