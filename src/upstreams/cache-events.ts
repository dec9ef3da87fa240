/** Cache events of an engine after a sequence number. */
export type CacheEvents = {
	/** Newest sequence number. */
	readonly seq: number;
	readonly events: ReadonlyArray<{readonly seq: number; readonly kind: 'added' | 'evicted'; readonly key: string}>;
};
