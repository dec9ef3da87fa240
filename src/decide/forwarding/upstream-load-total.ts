/** Total load that several hosts put on one upstream. */
export type UpstreamLoadTotal = {
	/** Requests in flight. */
	inFlight: number;
	/** KV cache memory that requests in flight take, in tokens. */
	heldTokens: number;
	/** Prompt tokens whose prefill has not ended, by priority. */
	readonly waitingTokens: Map<number, number>;
};
