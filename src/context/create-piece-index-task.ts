import {computeShard} from '../decide/membership/compute-shard.js';
import {type OwnerResolver} from '../membership/owner-resolver.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type CacheStoreSettings} from '../settings/cache-store-settings.js';
import {type CacheStore} from '../upstreams/cache-store.js';
import {type PieceUpdate} from './piece-update.js';
import {type PieceIndexTask} from './piece-index-task.js';
import {createPieceIndex} from './create-piece-index.js';
import {type PieceRecord} from './piece-record.js';

const shardCount = 256;
const listingIntervalMs = 10_000;
const lookupTimeoutMs = 250;
const maxEvictionsPerCall = 8;

/** Options of `createPieceIndexTask`. */
type PieceIndexTaskOptions = {
	readonly self: string;
	readonly owners: OwnerResolver;
	readonly call: PeerRpc;
	/** Cache stores of all services. */
	readonly stores: () => readonly CacheStoreSettings[];
	readonly storeAt: (url: string) => CacheStore;
	readonly random: () => number;
};

/** Starts the task that maintains the index shards that this host owns and queries the owners of all others. */
export function createPieceIndexTask(options: PieceIndexTaskOptions): PieceIndexTask & {readonly onOwnersChange: () => void} {
	const {self, owners, call, stores, storeAt, random} = options;
	const computeTag = (label: string): number => computeShard(label, shardCount);
	const pieceIndex = createPieceIndex(computeTag, random);
	const listingCursors = new Map<string, {readonly seq: number; readonly tags: string}>();

	/** A shard's number is also the tag under which stores list its pieces. */
	const ownerOf = (tag: number) => owners.inRegion(`context/${tag}`);

	const listOwnTags = (): readonly number[] => Array.from({length: shardCount}, (_, tag) => tag).filter(tag => ownerOf(tag)?.name === self);

	/** Fetches a store's new listing entries for the shards that this host owns and applies them to the index. */
	const applyStoreListing = async ({name, url}: CacheStoreSettings): Promise<void> => {
		const tags = listOwnTags();
		const cursor = listingCursors.get(name);
		const after = cursor?.tags === tags.join(',') ? cursor.seq : 0;
		if (tags.length === 0) {
			return;
		}

		try {
			const {seq, entries} = await storeAt(url).list(after, tags);
			if (seq < after) {
				// A lower sequence number means that the store has restarted; its earlier blocks are no longer valid.
				pieceIndex.dropStore(name);
				listingCursors.delete(name);
				return;
			}

			pieceIndex.applyListing(name, entries, Date.now());
			listingCursors.set(name, {seq, tags: tags.join(',')});
		} catch (error) {
			log.debug({store: name, error: String(error)}, 'store listing failed');
		}
	};

	const applyStoreListings = (): void => {
		for (const store of stores()) {
			void applyStoreListing(store);
		}
	};

	const listingTimer = setInterval(() => {
		pieceIndex.removeExpired(Date.now());
		applyStoreListings();
	}, listingIntervalMs);

	/** Groups the indexes of `labels` by their owner's address; the empty string stands for this host or for no owner. */
	const groupByOwner = (labels: readonly string[]): ReadonlyMap<string, readonly number[]> => {
		const groups = new Map<string, number[]>();
		for (const [index, label] of labels.entries()) {
			const owner = ownerOf(computeTag(label));
			const address = !owner || owner.name === self ? '' : owner.peers;
			groups.set(address, [...groups.get(address) ?? [], index]);
		}

		return groups;
	};

	const lookupLocally = (keys: readonly string[]): ReadonlyArray<PieceRecord | undefined> => {
		const now = Date.now();
		return keys.map(key => pieceIndex.lookup(key, now));
	};

	const lookupAtOwner = async (
		address: string,
		service: string,
		keys: readonly string[],
		labels: readonly string[],
	): Promise<ReadonlyArray<PieceRecord | undefined>> => {
		if (address === '') {
			return lookupLocally(keys);
		}

		try {
			const {pieces} = await call(address, 'context.lookup', {service, keys, labels}, {timeoutMs: lookupTimeoutMs});
			return pieces.map(piece => piece ?? undefined);
		} catch {
			// A piece whose owner is unreachable counts as not stored and is recomputed.
			return keys.map(() => undefined);
		}
	};

	const evictLocally = async (store: string, maxScore: number): Promise<number> => {
		const url = stores().find(candidate => candidate.name === store)?.url;
		if (url === undefined) {
			return 0;
		}

		const leastValuable = pieceIndex.takeLeastValuable(store, maxScore, maxEvictionsPerCall, Date.now());
		const freed = await Promise.allSettled(leastValuable.map(async piece => storeAt(url).free(piece.block, piece.generation)));
		return freed.filter(result => result.status === 'fulfilled' && result.value).length;
	};

	const addLocally = (updates: readonly PieceUpdate[]): void => {
		for (const update of updates) {
			pieceIndex.add(update, Date.now());
		}
	};

	return {
		computeTag,
		onOwnersChange() {
			pieceIndex.retainShards(tag => ownerOf(tag)?.name === self);
			applyStoreListings();
		},
		async lookup(service, keys, labels) {
			const records: Array<PieceRecord | undefined> = keys.map(() => undefined);
			await Promise.all([...groupByOwner(labels)].map(async ([address, indexes]) => {
				const pieces = await lookupAtOwner(address, service, indexes.map(index => keys[index]!), indexes.map(index => labels[index]!));
				for (const [position, index] of indexes.entries()) {
					records[index] = pieces[position];
				}
			}));
			return records;
		},
		add(updates) {
			for (const [address, indexes] of groupByOwner(updates.map(update => update.label))) {
				const group = indexes.map(index => updates[index]!);
				if (address === '') {
					addLocally(group);
				} else {
					call(address, 'context.add', {additions: group}).catch(() => undefined);
				}
			}
		},
		async evict(service, store, label, maxScore) {
			const owner = ownerOf(computeTag(label));
			if (!owner || owner.name === self) {
				return evictLocally(store, maxScore);
			}

			const {freed} = await call(owner.peers, 'context.evict', {service, store, value: maxScore}, {timeoutMs: 4 * lookupTimeoutMs});
			return freed;
		},
		handlers: {
			'context.lookup': async ({keys}) => ({pieces: lookupLocally(keys).map(piece => piece ?? null)}),
			async 'context.add'({additions}) {
				addLocally(additions);
				return {};
			},
			'context.evict': async ({store, value}) => ({freed: await evictLocally(store, value)}),
		},
		async stop() {
			clearInterval(listingTimer);
		},
	};
}
