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

const sliceCount = 256;
const listMs = 10_000;
const lookupTimeoutMs = 250;
const evictedAtOnce = 8;

/** What the context task needs. */
type PieceIndexTaskOptions = {
	readonly self: string;
	readonly owners: OwnerResolver;
	readonly call: PeerRpc;
	/** Stores in reach, with the services that use them. */
	readonly stores: () => readonly CacheStoreSettings[];
	readonly storeAt: (url: string) => CacheStore;
	readonly random: () => number;
};

/** Starts the task that keeps the directory slices of this host and asks the owners of the others. */
export function createPieceIndexTask(options: PieceIndexTaskOptions): PieceIndexTask & {readonly onOwnersChange: () => void} {
	const {self, owners, call, stores, storeAt, random} = options;
	const tagOf = (label: string): number => computeShard(label, sliceCount);
	const directory = createPieceIndex(tagOf, random);
	const listedTo = new Map<string, {readonly seq: number; readonly tags: string}>();

	const ownerOf = (tag: number) => owners.inRegion(`context/${tag}`);

	const ownTags = (): readonly number[] => Array.from({length: sliceCount}, (_, tag) => tag).filter(tag => ownerOf(tag)?.name === self);

	const listStore = async ({name, url}: CacheStoreSettings): Promise<void> => {
		const tags = ownTags();
		const known = listedTo.get(name);
		const after = known?.tags === tags.join(',') ? known.seq : 0;
		if (tags.length === 0) {
			return;
		}

		try {
			const {seq, entries} = await storeAt(url).list(after, tags);
			if (seq < after) {
				// A lower number means that the store has started anew; everything known of it is void.
				directory.dropStore(name);
				listedTo.delete(name);
				return;
			}

			directory.applyListing(name, entries, Date.now());
			listedTo.set(name, {seq, tags: tags.join(',')});
		} catch (error) {
			log.debug({store: name, error: String(error)}, 'store listing failed');
		}
	};

	const listStores = (): void => {
		for (const store of stores()) {
			void listStore(store);
		}
	};

	const listing = setInterval(() => {
		directory.removeExpired(Date.now());
		listStores();
	}, listMs);

	/** Groups indexes of `labels` by the address of their owner; own ones under the empty string. */
	const groupByOwner = (labels: readonly string[]): ReadonlyMap<string, readonly number[]> => {
		const groups = new Map<string, number[]>();
		for (const [index, label] of labels.entries()) {
			const owner = ownerOf(tagOf(label));
			const address = !owner || owner.name === self ? '' : owner.peers;
			groups.set(address, [...groups.get(address) ?? [], index]);
		}

		return groups;
	};

	const lookupOwn = (keys: readonly string[]): ReadonlyArray<PieceRecord | undefined> => {
		const now = Date.now();
		return keys.map(key => directory.lookup(key, now));
	};

	const lookupAt = async (address: string, service: string, keys: readonly string[], labels: readonly string[]): Promise<ReadonlyArray<PieceRecord | undefined>> => {
		if (address === '') {
			return lookupOwn(keys);
		}

		try {
			const {pieces} = await call(address, 'context.lookup', {service, keys, labels}, {timeoutMs: lookupTimeoutMs});
			return pieces.map(piece => piece ?? undefined);
		} catch {
			// Without its owner a piece counts as not kept; it is recomputed.
			return keys.map(() => undefined);
		}
	};

	const evictOwn = async (store: string, value: number): Promise<number> => {
		const url = stores().find(candidate => candidate.name === store)?.url;
		if (url === undefined) {
			return 0;
		}

		const least = directory.takeLeastValuable(store, value, evictedAtOnce, Date.now());
		const freed = await Promise.allSettled(least.map(async piece => storeAt(url).free(piece.block, piece.generation)));
		return freed.filter(result => result.status === 'fulfilled' && result.value).length;
	};

	const addOwn = (additions: readonly PieceUpdate[]): void => {
		for (const addition of additions) {
			directory.add(addition, Date.now());
		}
	};

	return {
		tagOf,
		onOwnersChange() {
			directory.retainShards(tag => ownerOf(tag)?.name === self);
			listStores();
		},
		async lookup(service, keys, labels) {
			const found: Array<PieceRecord | undefined> = keys.map(() => undefined);
			await Promise.all([...groupByOwner(labels)].map(async ([address, indexes]) => {
				const pieces = await lookupAt(address, service, indexes.map(index => keys[index]!), indexes.map(index => labels[index]!));
				for (const [place, index] of indexes.entries()) {
					found[index] = pieces[place];
				}
			}));
			return found;
		},
		add(additions) {
			for (const [address, indexes] of groupByOwner(additions.map(addition => addition.label))) {
				const group = indexes.map(index => additions[index]!);
				if (address === '') {
					addOwn(group);
				} else {
					call(address, 'context.add', {additions: group}).catch(() => undefined);
				}
			}
		},
		async evict(service, store, label, value) {
			const owner = ownerOf(tagOf(label));
			if (!owner || owner.name === self) {
				return evictOwn(store, value);
			}

			const {freed} = await call(owner.peers, 'context.evict', {service, store, value}, {timeoutMs: 4 * lookupTimeoutMs});
			return freed;
		},
		handlers: {
			'context.lookup': async ({keys}) => ({pieces: lookupOwn(keys).map(piece => piece ?? null)}),
			async 'context.add'({additions}) {
				addOwn(additions);
				return {};
			},
			'context.evict': async ({store, value}) => ({freed: await evictOwn(store, value)}),
		},
		async stop() {
			clearInterval(listing);
		},
	};
}
