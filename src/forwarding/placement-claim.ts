/** The claim of a place at the upstream that a request is sent to. */
export type PlacementClaim = {
	/** Number of upstreams that quoted their load. */
	readonly candidatesTried: number;
	/** Time until the upstream has prefilled the prompts ahead, as quoted, in milliseconds; `undefined` without a quote. */
	readonly quotedWaitMs: number | undefined;
	/** Records that the prefill has ended. */
	readonly recordAnswered: () => void;
};
