import {hashTo48Bits} from '../../util/hash-to-48-bits.js';

/** Returns the shard of the key `label`, from 0 to `count` - 1. */
export function computeShard(label: string, count: number): number {
	return hashTo48Bits(label) % count;
}
