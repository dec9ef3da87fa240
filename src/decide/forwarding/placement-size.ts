/** What is sent. */
export type PlacementSize = {
	/** Time until the upstream has the whole prompt, its queue apart, in milliseconds. */
	readonly readMs: number;
	/** Memory that the request takes, in tokens. */
	readonly heldTokens: number;
	/** Memory of an upstream, in tokens; `undefined` where that is no limit. */
	readonly memoryTokens: number | undefined;
};
