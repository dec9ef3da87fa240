import {computeRendezvousScore} from './compute-rendezvous-score.js';

/** Returns the first name of `rankOwners` without sorting, or `undefined` when `names` is empty. */
export function findOwner(names: readonly string[], key: string): string | undefined {
	let owner: string | undefined;
	let ownerScore = -1;
	for (const name of names) {
		const score = computeRendezvousScore(name, key);
		if (score > ownerScore || (score === ownerScore && name < owner!)) {
			owner = name;
			ownerScore = score;
		}
	}

	return owner;
}
