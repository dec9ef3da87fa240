/** A block in the listing of a cache store. */
export type CacheStoreEntry = {
	readonly block: number;
	/** Increases each time the block is reserved. */
	readonly generation: number;
	/** Key of the prompt piece in the block. */
	readonly key: string;
	/** Shard of the piece index to which the piece belongs. */
	readonly tag: number;
	readonly bytes: number;
	/** Sequence number of the block's last change. */
	readonly seq: number;
	readonly state: 'reserved' | 'sealed' | 'free';
	readonly checksum: string;
};
