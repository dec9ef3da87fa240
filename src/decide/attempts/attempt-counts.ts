/** Counts of what has been tried for one request, over all hosts that it has passed; or limits on them. */
export type AttemptCounts = {
	/** Sends after which the request may have run. */
	readonly runs: number;
	/** Sends to upstreams, including those that upstreams reported as not run. */
	readonly sends: number;
	/** Connections that could not be opened, so that nothing was sent. */
	readonly unsent: number;
};
