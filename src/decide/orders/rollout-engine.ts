/** An engine's state as known to the holder of the rollout lease. */
export type RolloutEngine = {
	readonly id: string;
	/** Version of the loaded weights. */
	readonly version: number;
	/** Requests in flight from all hosts, as last reported. */
	readonly inFlight: number;
	/** Whether an order to this engine is in progress. */
	readonly isBusy: boolean;
	/** Whether it has not responded of late, so that others come first. */
	readonly isUnresponsive?: boolean;
	/** Time for which requests can still be sent to it with the weights that it has, in milliseconds; by default for ever. */
	readonly usableForMs?: number;
};
