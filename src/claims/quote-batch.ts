/** A quote on the wire; the flags are 0 or 1. */
export type WireQuote = readonly [number: number, inFlight: number, aheadTokens: number, heldTokens: number, isQueueing: number, isFilling: number];

/** Answers to a batch of claims. */
export type QuoteBatch = {
	/** Host that keeps the ledger. */
	readonly h: string;
	readonly q: readonly WireQuote[];
};
