/** Load of one upstream by several hosts. */
export type UpstreamLoadTotal = {
	inFlight: number;
	heldTokens: number;
	/** Prompt tokens whose reading has not ended, by urgency. */
	readonly waitingTokens: Map<number, number>;
};
