import {rankUpstreams} from './rank-upstreams.js';
import {shortlistCandidates} from './shortlist-candidates.js';
import {type UpstreamCandidate} from './upstream-candidate.js';

/**
Width of the random term in the ranking, as a multiple of the estimated unreported work. `shortlist` is used to form the shortlist, `final`
to choose from it, or from all candidates without `context`. The shortlist is close to a uniform random sample, since many hosts choose
at once; the best of a few random upstreams is nearly as good as the best of all would be with fresh reports (Mitzenmacher, 2000).
*/
const spreadFactors = {shortlist: 16, final: 4} as const;
/**
The factor instead of `final` where places are claimed: the ledger then shows what other hosts have placed, and a wide random term would only
outweigh the kept KV cache.
*/
const claimedSpreadFactor = 0.25;

/** Inputs of the ranking besides the candidates. */
export type RankOptions = {
	readonly random: () => number;
	/** Estimated unreported work per upstream, that is, work that other hosts have placed since their last reports, in milliseconds. */
	readonly unseenMs: number;
	/** The KV cache of a prompt: which upstreams may hold part of it, and the prediction that takes it into account. */
	readonly context: {
		readonly mayHold: (candidate: UpstreamCandidate) => boolean;
		readonly predictWithKvCache: (candidate: UpstreamCandidate) => UpstreamCandidate;
	} | undefined;
	/** Whether a place is claimed before the request is sent. */
	readonly isClaimed?: boolean;
};

/**
Ranks upstreams for a request, best first. For a prompt, ranks all candidates as if each had the whole prompt cached, then ranks a shortlist of
them by the prediction that takes the KV cache of each into account.
*/
export function rankCandidates(candidates: readonly UpstreamCandidate[], {random, unseenMs, context, isClaimed = false}: RankOptions): readonly UpstreamCandidate[] {
	const finalSpreadMs = unseenMs * (isClaimed ? claimedSpreadFactor : spreadFactors.final);
	if (!context) {
		return rankUpstreams(candidates, random, finalSpreadMs);
	}

	const shortlist = shortlistCandidates(rankUpstreams(candidates, random, unseenMs * spreadFactors.shortlist), context.mayHold);
	return rankUpstreams(shortlist.map(candidate => context.predictWithKvCache(candidate)), random, finalSpreadMs);
}
