import {type UpstreamCandidate} from './upstream-candidate.js';
import {rankUpstreams} from './rank-upstreams.js';
import {shortlistCandidates} from './shortlist-candidates.js';

/**
By how much of the work that is not reported yet upstreams may differ and still be chosen between by chance: when the few are chosen at
which a prompt's context is looked at, and when one of those is chosen. The first is near an even choice, since many hosts choose at
once; of a few chosen evenly the best is nearly as good as the best of all would be if reports were fresh (Mitzenmacher, 2000).
*/
const spreadFactors = {shortlist: 16, final: 4} as const;

/** What a choice rests on besides the candidates. */
type ChoiceOptions = {
	readonly random: () => number;
	/** Work that other hosts may have placed at an upstream since their reports, in milliseconds. */
	readonly unseenMs: number;
	/** For a prompt: where its context may be, and the prediction with it. */
	readonly context: {
		readonly mayHold: (candidate: UpstreamCandidate) => boolean;
		readonly predictWithContext: (candidate: UpstreamCandidate) => UpstreamCandidate;
	} | undefined;
};

/** Chooses the upstream of a request, by predictions without its context; those of a few are made again with it. */
export function chooseUpstream(candidates: readonly UpstreamCandidate[], {random, unseenMs, context}: ChoiceOptions): UpstreamCandidate | undefined {
	if (!context) {
		return rankUpstreams(candidates, random, unseenMs * spreadFactors.final)[0];
	}

	const shortlist = shortlistCandidates(rankUpstreams(candidates, random, unseenMs * spreadFactors.shortlist), context.mayHold);
	return rankUpstreams(shortlist.map(candidate => context.predictWithContext(candidate)), random, unseenMs * spreadFactors.final)[0];
}
