import {createHash} from 'node:crypto';

/** Gives a uniform 48-bit number for `text`, the same in every process. */
export function hashTo48Bits(text: string): number {
	return createHash('md5').update(text).digest().readUIntBE(0, 6);
}
