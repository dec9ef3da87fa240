/** Inputs of the chance. */
type PaceChanceInput = {
	/** Limit on the requests of all hosts in flight. */
	readonly limit: number;
	/** Requests in flight as far as known, from this host and in the reports of others. */
	readonly inFlight: number;
	/** Requests that other hosts may have chosen the upstream for since their reports. */
	readonly unreported: number;
};

/**
Returns the chance with which a request that was placed at a limited upstream may be sent there. Load pattern: an upstream that has just started is seen
by all hosts at once, up to 60, all of which see the same room until their next reports; together they take about the room and not each
the whole of it.
*/
export function computePaceChance({limit, inFlight, unreported}: PaceChanceInput): number {
	return Math.min(1, Math.max(0, limit - inFlight) / (1 + unreported));
}
