import {scoreOwner} from './score-owner.js';

/** Gives the place of `name` in `rankOwners` of itself and `others`, from 0, without sorting. */
export function rankOf(name: string, others: readonly string[], key: string): number {
	const own = scoreOwner(name, key);
	let rank = 0;
	for (const other of others) {
		const score = scoreOwner(other, key);
		if (score > own || (score === own && other < name)) {
			rank++;
		}
	}

	return rank;
}
