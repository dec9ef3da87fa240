/** Planned KV transfers of one part of a prompt. */
export type PartTransferPlan = {
	/** Address of the store or engine to fetch the part from; `undefined` when it is not fetched. */
	readonly fetchFrom: string | undefined;
	/** Address of the store to save the part to; `undefined` when it is not saved. */
	readonly saveTo: string | undefined;
	/** Time until the part is in the engine's memory, in milliseconds. */
	readonly readyMs: number;
};
