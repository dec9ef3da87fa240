/** Settings of the pace of upstreams. */
export type PaceSettings = {
	/** Share of an upstream's slots that may be in flight, from all hosts together, when it has just started. */
	readonly initialShare: number;
	/** An answer is slow when it takes this many times as long as answers of warm upstreams. */
	readonly slowFactor: number;
	/** The limit doubles after this time without a slow answer or a failure, in milliseconds. */
	readonly quietMs: number;
};
