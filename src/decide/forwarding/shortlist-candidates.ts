import {type UpstreamCandidate} from './upstream-candidate.js';

/** Upstreams that are looked at closely because little is known to wait there. */
const rankedShortlistSize = 6;

/**
Leaves the candidates that may be the best: those with the least time by load alone, and those that are likely to hold context
of the request, for which the plan of the context decides. All others hold none of it and have more ahead. Load pattern: scores
of engines and prompts of many parts, where planning at each engine costs the host more than the engine's choice gains.

@param ranked - Best first, by the predicted time if nothing had to be read.
*/
export function shortlistCandidates(ranked: readonly UpstreamCandidate[], mayHold: (candidate: UpstreamCandidate) => boolean): readonly UpstreamCandidate[] {
	return [...ranked.slice(0, rankedShortlistSize), ...ranked.slice(rankedShortlistSize).filter(candidate => mayHold(candidate))];
}
