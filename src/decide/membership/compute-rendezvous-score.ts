import {hashTo32Bits} from '../../util/hash-to-32-bits.js';

/** Score of a name for a key; the highest one owns the key. */
export function computeRendezvousScore(name: string, key: string): number {
	return hashTo32Bits(`${name}\n${key}`);
}
