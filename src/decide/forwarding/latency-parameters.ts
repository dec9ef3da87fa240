/** What a prediction weighs. Times are in milliseconds. */
export type LatencyParameters = {
	/** Prompt tokens that an engine reads in a millisecond. */
	readonly prefillTokensPerMs: number;
	/** Time to the first byte at an idle upstream, without reading. */
	readonly baseMs: number;
	/** Time that each request in flight adds. */
	readonly perRequestMs: number;
	readonly crossDomainMs: number;
	/** Time that a request stays at an engine, for the wait for memory. */
	readonly residenceMs: number;
};
