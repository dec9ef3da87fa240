import {type CacheStoreEntry} from './cache-store-entry.js';

/** Client of a cache store. */
export type CacheStore = {
	/** Reserves a block for a piece whose piece index shard is `tag`; `undefined` when the store is full. */
	readonly reserve: (key: string, bytes: number, tag: number) => Promise<{readonly block: number; readonly generation: number} | undefined>;
	/** Seals a written block; `false` when its generation or checksum does not match. */
	readonly seal: (block: number, generation: number, checksum: string) => Promise<boolean>;
	/** Frees a block if it still has this generation; returns whether it did. */
	readonly free: (block: number, generation: number) => Promise<boolean>;
	/** Lists blocks of the given tags that changed after the sequence number `after`. */
	readonly list: (after: number, tags: readonly number[]) => Promise<{readonly seq: number; readonly entries: readonly CacheStoreEntry[]}>;
};
