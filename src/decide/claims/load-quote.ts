/** What the ledger of an upstream held before a claim. */
export type LoadQuote = {
	/** Requests in flight. */
	readonly inFlight: number;
	/** Prompt tokens that the upstream will prefill before those of the claim. */
	readonly aheadTokens: number;
	/** Whether requests wait for their first byte. */
	readonly isQueueing: boolean;
	/** KV cache memory that requests in flight take, in tokens. */
	readonly heldTokens: number;
	/** Whether the ledger has not existed long enough to hold all requests in flight. */
	readonly isFilling: boolean;
};
