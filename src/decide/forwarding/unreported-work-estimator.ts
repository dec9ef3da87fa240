/** Hosts that place requests, and upstreams that receive them. */
type EstimateOptions = {
	/** Number of other hosts that place requests. */
	readonly otherHosts: number;
	/** Mean age of their reports, in milliseconds. */
	readonly reportAgeMs: number;
	/** Number of upstreams. */
	readonly upstreams: number;
};

/** Estimates the work for a service that other hosts have placed but not reported yet. Times are in milliseconds. */
export type UnreportedWorkEstimator = {
	/** Records that this host has placed a request that delays those queued behind it by `addedMs`. */
	readonly record: (addedMs: number, now: number) => void;
	/** Returns the mean time per upstream that unreported requests of other hosts add. */
	readonly estimatePerUpstreamMs: (options: EstimateOptions, now: number) => number;
};
