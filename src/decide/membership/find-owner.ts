import {computeRendezvousScore} from './compute-rendezvous-score.js';

/** Gives the first of `rankOwners` without sorting; `undefined` where there are no names. */
export function findOwner(names: readonly string[], key: string): string | undefined {
	let best: string | undefined;
	let bestScore = -1;
	for (const name of names) {
		const score = computeRendezvousScore(name, key);
		if (score > bestScore || (score === bestScore && name < best!)) {
			best = name;
			bestScore = score;
		}
	}

	return best;
}
