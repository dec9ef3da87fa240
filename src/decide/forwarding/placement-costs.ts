/** What a prediction weighs. Times are in milliseconds. */
export type PlacementCosts = {
	/** Prompt tokens that an engine reads in a millisecond. */
	readonly tokensPerMs: number;
	/** Time to the first byte at an idle upstream, without reading. */
	readonly baseMs: number;
	/** Time that each request in flight adds. */
	readonly requestMs: number;
	readonly otherDomainMs: number;
	/** Time that a request stays at an engine, for the wait for memory. */
	readonly stayMs: number;
};
