/** Where one part of a prompt comes from and goes to. */
export type PartTransferPlan = {
	readonly fetchFrom: string | undefined;
	readonly saveTo: string | undefined;
	/** Time until the part is in the engine's memory, in milliseconds. */
	readonly readyMs: number;
};
