/** Between whom work is shared out. */
type EstimateOptions = {
	/** Other hosts that place requests. */
	readonly otherHosts: number;
	/** Mean age of their reports, in milliseconds. */
	readonly reportAgeMs: number;
	readonly upstreams: number;
};

/** Work of a service that this host does not know of yet. Times are in milliseconds. */
export type UnreportedWorkEstimator = {
	/** Notes the time that a request placed by this host adds for those behind it. */
	readonly record: (addedMs: number, now: number) => void;
	/** Time that requests placed by others and not reported yet add at an upstream, on average. */
	readonly estimatePerUpstreamMs: (options: EstimateOptions, now: number) => number;
};
