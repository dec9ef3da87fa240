import {createHash} from 'node:crypto';

/** Returns a uniformly distributed 48-bit hash of `text`, the same in every process. Not for secrets. */
export function hashTo48Bits(text: string): number {
	return createHash('md5').update(text).digest().readUIntBE(0, 6);
}
