/** Most upstreams at which a place is claimed for one request. Each further one takes a round trip and four messages. */
const maxClaims = 3;
/** A further claim must be expected to save this time, in milliseconds: about the round trip and the work for its messages. */
const minGainMs = 10;

/** Inputs of the decision. Times are in milliseconds. */
type AfterClaimInput = {
	/** Times to the first byte at the upstreams claimed so far, predicted with the quoted loads. */
	readonly quotedMs: readonly number[];
	/** Time at the next candidate, predicted with the reported load; `undefined` where there is none. */
	readonly nextMs: number | undefined;
};

/**
Decides after a quote whether a request keeps the best place that it has claimed, or claims one at the next candidate too. Load pattern: an upstream that was nearly idle in the last
reports and that other hosts have chosen since.
*/
export function decideAfterClaim({quotedMs, nextMs}: AfterClaimInput): 'keep-best' | 'try-next' {
	return nextMs !== undefined && quotedMs.length < maxClaims && nextMs + minGainMs < Math.min(...quotedMs) ? 'try-next' : 'keep-best';
}
