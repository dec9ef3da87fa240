/** An engine as the holder of the roll-out's lease knows it. */
export type RolloutEngine = {
	readonly id: string;
	readonly version: number;
	/** Requests in flight of all hosts, as far as known. */
	readonly inFlight: number;
	/** Whether an order is under way there. */
	readonly isBusy: boolean;
};
