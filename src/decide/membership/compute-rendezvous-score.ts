import {hashTo32Bits} from '../../util/hash-to-32-bits.js';

/** Computes the rendezvous hashing score of a name for a key; the name with the highest score owns the key. */
export function computeRendezvousScore(name: string, key: string): number {
	return hashTo32Bits(`${name}\n${key}`);
}
