/** A block in the listing of a cache store. */
export type CacheStoreEntry = {
	readonly block: number;
	readonly generation: number;
	readonly key: string;
	readonly tag: number;
	readonly bytes: number;
	readonly seq: number;
	readonly state: 'reserved' | 'sealed' | 'free';
	readonly checksum: string;
};
