import {computeRendezvousScore} from './compute-rendezvous-score.js';

/** Returns the zero-based position of `name` in `rankOwners` of `name` and `others`, without sorting. */
export function getOwnerRank(name: string, others: readonly string[], key: string): number {
	const ownScore = computeRendezvousScore(name, key);
	let rank = 0;
	for (const other of others) {
		const score = computeRendezvousScore(other, key);
		if (score > ownScore || (score === ownScore && other < name)) {
			rank++;
		}
	}

	return rank;
}
