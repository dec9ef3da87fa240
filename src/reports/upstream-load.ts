/** Load that a host puts on an upstream. */
export type UpstreamLoad = {
	readonly id: string;
	readonly inFlight: number;
	/** Prompt tokens of requests without a response head, as pairs of priority and tokens. */
	readonly waitingTokens: ReadonlyArray<readonly [number, number]>;
	/** KV cache memory that requests in flight take, in tokens. */
	readonly heldTokens: number;
};
