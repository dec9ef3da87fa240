import {hashTo48Bits} from '../../util/hash-to-48-bits.js';

/** Gives the slice, from 0 to `count` - 1, that `label` belongs to. */
export function computeShard(label: string, count: number): number {
	return hashTo48Bits(label) % count;
}
