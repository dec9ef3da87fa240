/** A store of kept context, as a host knows it when it plans a request. */
export type KvStoreView = {
	readonly name: string;
	readonly address: string;
	readonly has: (part: string) => boolean;
	/** Store's clock until which a fetch may run; `undefined` when nothing may be fetched. */
	readonly fetchDeadlineMs: number | undefined;
	/** Whether a part of so many tokens may be saved. */
	readonly canSave: (tokens: number) => boolean;
	/** Time to move so many tokens, in milliseconds. */
	readonly estimateTransferMs: (tokens: number) => number;
};
