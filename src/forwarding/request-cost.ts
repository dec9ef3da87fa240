/** What a request asks of an upstream, in tokens. */
export type RequestCost = {
	/** Prompt tokens that have to be read before the answer begins. */
	readonly waitingTokens: number;
	/** Memory taken until the request ends. */
	readonly heldTokens: number;
	/** Rank at the engine; 0 is read first. */
	readonly priority: number;
};
