/** What a request needs from an upstream. */
export type PlacementDemand = {
	/** Time until the upstream has the KV cache of the whole prompt, without the wait in its queue, in milliseconds. */
	readonly promptReadyMs: number;
	/** KV cache memory that the request takes, in tokens. */
	readonly heldTokens: number;
	/** KV cache memory of an upstream, in tokens; `undefined` where memory is not a limit. */
	readonly kvCapacityTokens: number | undefined;
};
