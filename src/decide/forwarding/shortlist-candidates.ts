import {type UpstreamCandidate} from './upstream-candidate.js';

/** Number of candidates that are taken from the top of the ranking. */
const rankedShortlistSize = 6;

/**
Returns the candidates that may be the best: those ranked first by load alone, and those that are likely to hold KV cache of the request's
prompt. All others hold none of it and have more work queued. Load pattern: dozens of engines and prompts of many parts, where
planning the KV transfers for every engine would cost the host more than a better choice gains.

@param ranked - Best first, by the time predicted as if the whole prompt were cached.
*/
export function shortlistCandidates(ranked: readonly UpstreamCandidate[], mayHold: (candidate: UpstreamCandidate) => boolean): readonly UpstreamCandidate[] {
	return [...ranked.slice(0, rankedShortlistSize), ...ranked.slice(rankedShortlistSize).filter(candidate => mayHold(candidate))];
}
