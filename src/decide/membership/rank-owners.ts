import {computeRendezvousScore} from './compute-rendezvous-score.js';

/**
Ranks `names` for `key` by rendezvous hashing (Thaler and Ravishankar, 1998): every host computes the same order, and a
host that goes moves only what it was first for.
*/
export function rankOwners(names: readonly string[], key: string): readonly string[] {
	return names
		.map(name => ({name, score: computeRendezvousScore(name, key)}))
		.toSorted((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
		.map(entry => entry.name);
}
