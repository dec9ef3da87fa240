import {type UpstreamCandidate} from './upstream-candidate.js';

/** Penalty of an upstream whose recent requests all failed. */
const failurePenaltyMs = 400;
const unresponsivePenaltyMs = 1e5;
const ejectedPenaltyMs = 1e6;

/** Computes the time by which a candidate is ranked, without a random term: its predicted time to the first byte and penalties, in milliseconds. */
export function computeRankMs({view: {isUnresponsive, isEjected, failureShare}, firstByteMs, staleWeightsPenaltyMs}: UpstreamCandidate): number {
	return firstByteMs
		+ staleWeightsPenaltyMs
		+ (failureShare * failurePenaltyMs)
		+ (isUnresponsive ? unresponsivePenaltyMs : 0)
		+ (isEjected ? ejectedPenaltyMs : 0);
}
