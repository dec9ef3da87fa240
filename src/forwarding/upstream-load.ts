/** Load of one upstream by one host. */
export type UpstreamLoad = {
	readonly id: string;
	readonly inFlight: number;
	/** Prompt tokens of requests whose answers have not begun: urgency and tokens. */
	readonly waitingTokens: ReadonlyArray<readonly [number, number]>;
	/** Memory that requests in flight take, in tokens. */
	readonly heldTokens: number;
};
