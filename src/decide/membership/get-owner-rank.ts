import {computeRendezvousScore} from './compute-rendezvous-score.js';

/** Gives the place of `name` in `rankOwners` of itself and `others`, from 0, without sorting. */
export function getOwnerRank(name: string, others: readonly string[], key: string): number {
	const own = computeRendezvousScore(name, key);
	let rank = 0;
	for (const other of others) {
		const score = computeRendezvousScore(other, key);
		if (score > own || (score === own && other < name)) {
			rank++;
		}
	}

	return rank;
}
