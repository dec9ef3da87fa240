import {createAbandonedSaveDetector} from '../decide/kept/create-abandoned-save-detector.js';
import {createPendingSaves} from '../decide/kept/create-pending-saves.js';
import {createKvStoreIndex} from '../decide/kept/create-kv-store-index.js';
import {createHighBandwidthPredicate} from '../decide/membership/create-high-bandwidth-predicate.js';
import {getOwnerRankByBandwidth} from '../decide/membership/get-owner-rank-by-bandwidth.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {memoizeLast} from '../util/memoize-last.js';
import {memoize} from '../util/memoize.js';
import {sleep} from '../util/sleep.js';
import {createKvStorePoller} from './create-kv-store-poller.js';
import {type EngineClient} from './engine-client.js';
import {type TrackedKvStore} from './tracked-kv-store.js';
import {type HostStatus} from './host-status.js';
import {type KvStoreUpdate} from './kv-store-update.js';
import {type KnownHost} from './known-host.js';
import {type KvEventCursor} from './kv-event-cursor.js';
import {type Service} from './service.js';
import {type KvStore} from './kv-store.js';
import {type KvStoreTracker} from './kv-store-tracker.js';

/** Polls of one store are this far apart, so that each brings several events; news of them go to every host. */
const pollMs = 250;
const tickMs = 100;
/** A host further down the ranking polls a store of which it has heard nothing for this long. */
const quietMs = 1200;
const quietRankMs = 500;
const pullTimeoutMs = 1500;
/** Hosts that need a whole list spread their questions over this time a host, so that the one that polls is not flooded. */
const spreadMsPerHost = 20;
const mostSpreadMs = 400;
/** Share of a store's room that saves may fill. */
const fillShare = 0.96;
const blockTokens = 16;

/** What the task needs. */
type KvStoreTrackerOptions = {
	readonly self: Pick<HostStatus, 'host' | 'domain' | 'peers' | 'linkMbps'>;
	readonly control: EngineClient;
	readonly call: PeerRpc;
	/** Hosts that are alive, this one not included. */
	readonly others: () => readonly KnownHost[];
	readonly publishUpdate: (news: KvStoreUpdate) => void;
	/** Whether this host has had time to hear which others there are. */
	readonly hasSettled: () => boolean;
	/** Clock in milliseconds that counts suspensions. */
	readonly now: () => number;
	readonly random: () => number;
};

/** Starts the task. One host polls each store and passes the news on; the others poll only when they hear nothing. */
export function createKvStoreTracker({self, control, call, others, publishUpdate, hasSettled, now, random}: KvStoreTrackerOptions): KvStoreTracker {
	const followed = new Map<string, TrackedKvStore>();
	const pulling = new Set<string>();

	const poll = createKvStorePoller({
		peers: self.peers, control, publishUpdate, now,
	});

	const ranksAmong = memoizeLast((hosts: readonly KnownHost[]) => memoize((store: string) => getOwnerRankByBandwidth(self, hosts, store)));
	const rankFor = (store: string): number => ranksAmong(others())(store);

	const shouldPoll = (entry: TrackedKvStore): boolean => {
		const rank = rankFor(entry.kept.name);
		return (rank === 0 && hasSettled()) || now() - entry.lastUpdateAt > quietMs + (rank * quietRankMs);
	};

	const keepPolling = async (entry: TrackedKvStore): Promise<void> => {
		entry.isPolling = true;
		await poll(entry);
		entry.isPolling = false;
		entry.nextPollAt = now() + pollMs;
	};

	/** One timer for all stores, since a host of a large deployment follows scores of them. */
	const timer = setInterval(() => {
		for (const entry of followed.values()) {
			if (!entry.isPolling && now() >= entry.nextPollAt && shouldPoll(entry)) {
				void keepPolling(entry);
			}
		}
	}, tickMs);

	const pickHelper = (): string | undefined => {
		const near = others().filter(host => host.domain === self.domain);
		const wide = near.filter(createHighBandwidthPredicate(near));
		return wide[Math.floor(random() * wide.length)]?.peers;
	};

	const knows = ({kept: {directory}}: TrackedKvStore, {epoch, next}: KvEventCursor): boolean =>
		directory.epoch() === epoch && (directory.next() ?? Number.NEGATIVE_INFINITY) >= next;

	/** Asks one host for what is missing here; gives whether this host now knows the store as far as was heard of it. */
	const ask = async (entry: TrackedKvStore, address: string, heard: KvEventCursor): Promise<boolean> => {
		const {name, directory} = entry.kept;
		const sentAt = now();
		const [epoch, next] = [directory.epoch(), directory.next()];
		const known = epoch === undefined || next === undefined ? undefined : {epoch, next};
		const {news, isWhole} = await call(address, 'gateway.kept', {store: name, ...known && {known}}, {timeoutMs: pullTimeoutMs});
		const isNewer = news?.epoch === heard.epoch && !knows(entry, news);
		// The directory may have moved on meanwhile.
		if (isNewer && (isWhole || directory.next() === next)) {
			if (isWhole) {
				directory.invalidate();
			}

			directory.applyUpdate(news, sentAt, now());
		}

		return knows(entry, heard);
	};

	/** A host of the own failure domain that does more for the others is asked first, then the one that polls. */
	const pull = async (entry: TrackedKvStore, poller: string, heard: KvEventCursor): Promise<void> => {
		const {name} = entry.kept;
		if (pulling.has(name)) {
			return;
		}

		pulling.add(name);
		await sleep(random() * Math.min(mostSpreadMs, spreadMsPerHost * others().length));
		const helper = pickHelper();
		for (const address of helper === undefined || helper === poller ? [poller] : [helper, poller]) {
			try {
				if (await ask(entry, address, heard)) {
					break;
				}
			} catch (error) {
				log.warn({store: name, peer: address, error: String(error)}, 'peer gave no list of kept context');
			}
		}

		pulling.delete(name);
	};

	const add = (name: string, store: NonNullable<Service['store']>): void => {
		const directory = createKvStoreIndex();
		const entry: TrackedKvStore = {
			kept: {
				name, store, directory,
				canSave: tokens => directory.canSave(now())
					&& directory.tokens() + entry.pendingSaves.sweep(directory.has, now()) + tokens + blockTokens <= store.capacityTokens * fillShare,
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
		followed.set(name, entry);
	};

	return {
		updateServices(services) {
			const listed = new Map(services.flatMap(service => service.store?.isManaged ? [[service.name, service.store] as const] : []));
			for (const [name, entry] of followed) {
				if (listed.get(name)?.address !== entry.kept.store.address) {
					followed.delete(name);
				}
			}

			for (const [name, store] of listed) {
				if (!followed.has(name)) {
					add(name, store);
				}
			}
		},
		isPoller: name => rankFor(name) === 0,
		stores: () => [...followed.values()].map(entry => entry.kept),
		applyUpdate({store, peers: from, since, news}) {
			const entry = followed.get(store);
			if (!entry) {
				return;
			}

			entry.lastUpdateAt = now();
			const {directory} = entry.kept;
			if (!news) {
				directory.invalidate();
				return;
			}

			const next = news.epoch === directory.epoch() ? directory.next() : undefined;
			if (next !== undefined && next > news.next) {
				return;
			}

			if (next === undefined || since < 0 || since > next) {
				void pull(entry, from, news);
			} else {
				directory.applyUpdate(news, now(), now());
			}
		},
		listEvents(store, known) {
			const directory = followed.get(store)?.kept.directory;
			const next = directory?.next();
			if (!directory || next === undefined) {
				return {news: null, isWhole: true};
			}

			const changes = known?.epoch === directory.epoch() ? directory.since(known!.next) : undefined;
			return changes
				? {news: changes, isWhole: false}
				: {
					isWhole: true,
					news: {
						epoch: directory.epoch()!, next, hasGap: false, clockMs: directory.clockMs(),
						events: directory.listParts().map(part => ({isAdded: true, ...part})),
					},
				};
		},
		recordSave(store, scope, part, tokens) {
			followed.get(store)?.pendingSaves.record(scope, part, tokens, now());
		},
		isBeingSaved: (scope, part) => [...followed.values()].some(({pendingSaves}) => pendingSaves.has(scope, part, now())),
		stop() {
			clearInterval(timer);
		},
	};
}
