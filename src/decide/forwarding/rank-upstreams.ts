import {computeRankMs} from './compute-rank-ms.js';
import {type UpstreamCandidate} from './upstream-candidate.js';

/** Breaks ties at random. */
const minSpreadMs = 1;

/**
Ranks upstreams by the predicted time to the first byte, shortest first. Recent failures add a penalty. Unresponsive and ejected upstreams
rank last and are used only where no other is left; upstreams without a free connection are left out. Load pattern: bursts that several
hosts place at once based on delayed reports, so each score gets a random term of up to `spreadMs`.
*/
export function rankUpstreams(candidates: readonly UpstreamCandidate[], random: () => number, spreadMs = 0): readonly UpstreamCandidate[] {
	const score = (candidate: UpstreamCandidate): number => computeRankMs(candidate) + (random() * Math.max(minSpreadMs, spreadMs));
	return candidates
		.filter(({view}) => view.freeConnections > 0)
		.map(candidate => ({candidate, score: score(candidate)}))
		.toSorted((a, b) => a.score - b.score)
		.map(({candidate}) => candidate);
}
