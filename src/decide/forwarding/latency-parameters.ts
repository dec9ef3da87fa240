/** Parameters of a latency prediction. Times are in milliseconds. */
export type LatencyParameters = {
	/** Prompt tokens that an engine prefills per millisecond. */
	readonly prefillTokensPerMs: number;
	/** Time to the first byte at an idle upstream, without prefill. */
	readonly baseMs: number;
	/** Time that each request in flight adds. */
	readonly perRequestMs: number;
	/** Extra time for an upstream in another failure domain. */
	readonly crossDomainMs: number;
	/** Mean time that a request spends at its upstream; used for the wait for memory or for a slot. */
	readonly residenceMs: number;
};
