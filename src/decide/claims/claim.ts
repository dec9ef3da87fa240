/** A claim of a place at an upstream for one request. */
export type Claim = {
	readonly upstreamId: string;
	/** Priority at the engine; 0 is served first. */
	readonly priority: number;
	/** Prompt tokens to prefill. */
	readonly prefillTokens: number;
	/** KV cache memory that the request takes, in tokens. */
	readonly heldTokens: number;
};
