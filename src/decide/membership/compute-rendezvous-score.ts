import {hashText} from '../../util/hash-text.js';

/** Score of a name for a key; the highest one owns the key. */
export function computeRendezvousScore(name: string, key: string): number {
	return hashText(`${name}\n${key}`);
}
