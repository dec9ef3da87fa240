/** What is sent. */
export type PlacementDemand = {
	/** Time until the upstream has the whole prompt, its queue apart, in milliseconds. */
	readonly promptReadyMs: number;
	/** Memory that the request takes, in tokens. */
	readonly heldTokens: number;
	/** Memory of an upstream, in tokens; `undefined` where that is no limit. */
	readonly kvCapacityTokens: number | undefined;
};
