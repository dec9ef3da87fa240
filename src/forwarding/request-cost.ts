/** Load that a request puts on an upstream. */
export type RequestCost = {
	/** Prompt tokens to prefill before the response begins. */
	readonly waitingTokens: number;
	/** KV cache memory taken until the request ends, in tokens. */
	readonly heldTokens: number;
	/** Priority at the engine; 0 is served first. */
	readonly priority: number;
	/** Predicted time to the response head, in milliseconds; left out where there is no prediction. */
	readonly expectedMs?: number;
};
