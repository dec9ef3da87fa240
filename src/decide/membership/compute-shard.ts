import {hashNumber} from '../../util/hash-number.js';

/** Gives the slice, from 0 to `count` - 1, that `label` belongs to. */
export function computeShard(label: string, count: number): number {
	return hashNumber(label) % count;
}
