import {type UpstreamCandidate} from './upstream-candidate.js';

const failurePenaltyMs = 400;
const unresponsivePenaltyMs = 1e5;
const ejectedPenaltyMs = 1e6;
/** Equal upstreams are told apart by chance. */
const minSpreadMs = 1;

/**
Ranks upstreams by the predicted time to the first byte, least first. Upstreams that failed lately, that are silent
come last, and serve only where no other is left; those to which no connection is free are left out. Load pattern: bursts that several hosts place
at once on reports that lag, so differences up to `spreadMs` are left to chance.
*/
export function rankUpstreams(candidates: readonly UpstreamCandidate[], random: () => number, spreadMs = 0): readonly UpstreamCandidate[] {
	const score = ({view: {isUnresponsive, isEjected, failureShare}, firstByteMs, staleWeightsPenaltyMs}: UpstreamCandidate): number => firstByteMs
		+ staleWeightsPenaltyMs
		+ (failureShare * failurePenaltyMs)
		+ (isUnresponsive ? unresponsivePenaltyMs : 0)
		+ (isEjected ? ejectedPenaltyMs : 0)
		+ (random() * Math.max(minSpreadMs, spreadMs));
	return candidates
		.filter(({view}) => view.freeConnections > 0)
		.map(candidate => ({candidate, score: score(candidate)}))
		.toSorted((a, b) => a.score - b.score)
		.map(({candidate}) => candidate);
}
