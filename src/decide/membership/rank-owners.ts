import {computeRendezvousScore} from './compute-rendezvous-score.js';

/**
Ranks `names` as owners of `key` by rendezvous hashing (Thaler and Ravishankar, 1998). Every host computes the same order,
and when a host is removed, only the keys that it owned get another owner.
*/
export function rankOwners(names: readonly string[], key: string): readonly string[] {
	return names
		.map(name => ({name, score: computeRendezvousScore(name, key)}))
		.toSorted((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
		.map(entry => entry.name);
}
