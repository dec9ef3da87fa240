import {diffListing} from '../decide/kept/diff-listing.js';
import {log} from '../observe/log.js';
import {type EngineClient} from './engine-client.js';
import {type TrackedKvStore} from './tracked-kv-store.js';
import {type KvStoreUpdate} from './kv-store-update.js';
import {type KvEventBatch} from './kv-event-batch.js';

const eventWaitMs = 250;
/** Events that fit in one datagram; other hosts ask for the whole list where there are more. */
const maxPublishedEvents = 150;
/** A store is listed anew at most this often for saves that were not seen to end: events may be lost, and saves break off. */
const minRelistIntervalMs = 10_000;

/** What the poller needs. */
type KvStorePollerOptions = {
	readonly peers: string;
	readonly engineClient: EngineClient;
	readonly publishUpdate: (update: KvStoreUpdate) => void;
	/** Clock in milliseconds that counts suspensions. */
	readonly now: () => number;
};

/** Creates the function that asks a store of kept context once what has changed, and tells the other hosts. */
export function createKvStorePoller({peers, engineClient, publishUpdate, now}: KvStorePollerOptions) {
	/** Frees the room of saves that broke off; nobody reads from them, since they were never told as whole. */
	const freeAbandonedSaves = async (entry: TrackedKvStore, {epoch, unfinished = []}: KvEventBatch): Promise<void> => {
		const abandonedSaves = entry.findAbandonedSaves(unfinished, now());
		if (abandonedSaves.length > 0) {
			const isFreed = await engineClient.freeKvParts(entry.kept.store.address, epoch, abandonedSaves);
			log.info({
				store: entry.kept.name, epoch, parts: abandonedSaves.length, tokens: abandonedSaves.reduce((sum, {reservedTokens}) => sum + reservedTokens, 0), freed: isFreed,
			}, 'room of broken saves freed');
		}
	};

	/** Lists a store that was followed by events, and tells the others what the events did not say. */
	const relist = async (entry: TrackedKvStore, since: number): Promise<void> => {
		const {name, store: {address}, directory} = entry.kept;
		const sentAt = now();
		const listing = await engineClient.listKvParts(address);
		const isSameEpoch = listing.epoch === directory.epoch();
		const events = isSameEpoch ? diffListing(directory.listParts(), listing.events) : [];
		directory.invalidate();
		directory.applyUpdate(listing, sentAt, now());
		entry.lastListedAt = now();
		entry.hasUnfinishedSaves = (listing.unfinished ?? []).length > 0;
		log.info({
			store: name, epoch: listing.epoch, tokens: directory.tokens(), missed: events.length, unfinished: listing.unfinished?.length,
		}, 'store of kept context listed again');
		const canPublishEvents = isSameEpoch && events.length <= maxPublishedEvents;
		publishUpdate({
			store: name, peers, since: canPublishEvents ? since : -1, news: {...listing, events: canPublishEvents ? events : [], unfinished: undefined},
		});
		await freeAbandonedSaves(entry, listing);
	};

	const pollEvents = async (entry: TrackedKvStore, since: number | undefined): Promise<void> => {
		const {name, store: {address}, directory} = entry.kept;
		const sentAt = now();
		const news = since === undefined ? await engineClient.listKvParts(address) : await engineClient.pollKvEvents(address, since, eventWaitMs);
		directory.applyUpdate(news, sentAt, now());
		const canPublishEvents = since !== undefined && news.events.length <= maxPublishedEvents;
		publishUpdate({
			store: name, peers, since: since ?? -1, news: {...news, events: canPublishEvents ? news.events : [], unfinished: undefined},
		});
	};

	const shouldRelist = (entry: TrackedKvStore): boolean => {
		entry.pendingSaves.sweep(entry.kept.directory.has, now());
		entry.hasUnfinishedSaves = entry.pendingSaves.consumeLossFlag() || entry.hasUnfinishedSaves;
		return entry.hasUnfinishedSaves && now() - entry.lastListedAt > minRelistIntervalMs;
	};

	return async (entry: TrackedKvStore): Promise<void> => {
		const {name, directory} = entry.kept;
		const since = directory.next();
		try {
			await (since !== undefined && shouldRelist(entry) ? relist(entry, since) : pollEvents(entry, since));
			entry.lastUpdateAt = now();
			if (!entry.isAnswering) {
				entry.isAnswering = true;
				log.info({store: name, epoch: directory.epoch(), tokens: directory.tokens()}, 'store of kept context answers');
			}
		} catch (error) {
			directory.invalidate();
			if (entry.isAnswering) {
				entry.isAnswering = false;
				log.warn({store: name, error: String(error)}, 'store of kept context does not answer');
				publishUpdate({
					store: name, peers, since: -1, news: undefined,
				});
			}
		}
	};
}
