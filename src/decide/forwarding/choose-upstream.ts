import {rankCandidates, type RankOptions} from './rank-candidates.js';
import {type UpstreamCandidate} from './upstream-candidate.js';

/**
Chooses the upstream of a request by reported loads.

@returns `undefined` where no candidate has a free connection.
*/
export function chooseUpstream(candidates: readonly UpstreamCandidate[], options: Omit<RankOptions, 'isClaimed'>): UpstreamCandidate | undefined {
	return rankCandidates(candidates, options)[0];
}
