/** A KV store as this host sees it when it plans a request. */
export type KvStoreView = {
	readonly name: string;
	readonly address: string;
	/** Returns whether the store holds the complete part. */
	readonly has: (part: string) => boolean;
	/** Time by the store's clock at which a fetch must end; `undefined` when nothing may be fetched. */
	readonly fetchDeadlineMs: number | undefined;
	/** Returns whether a part of that many tokens may be saved. */
	readonly canSave: (tokens: number) => boolean;
	/** Returns the time to transfer that many tokens, in milliseconds. */
	readonly estimateTransferMs: (tokens: number) => number;
};
