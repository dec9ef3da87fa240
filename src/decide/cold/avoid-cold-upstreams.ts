import {type UpstreamCandidate} from '../forwarding/upstream-candidate.js';

/** A warm upstream with a prediction within this share of the objective is sure enough to be in time. */
const sureShare = 0.5;

const isSure = ({view: {isCold, isEjected, isUnresponsive, freeConnections}, firstByteMs}: UpstreamCandidate, objectiveMs: number): boolean =>
	!isCold && !isEjected && !isUnresponsive && freeConnections > 0 && firstByteMs <= objectiveMs * sureShare;

/**
Returns the candidates without the cold ones, if a warm one can serve the request well in time. Load pattern: an upstream that has just started is
empty, so that each request would ask for a permit there first and wait for the answer.
*/
export function avoidColdUpstreams(candidates: readonly UpstreamCandidate[], objectiveMs: number): readonly UpstreamCandidate[] {
	return candidates.some(({view}) => view.isCold) && candidates.some(candidate => isSure(candidate, objectiveMs))
		? candidates.filter(({view}) => !view.isCold)
		: candidates;
}
