import {createHash} from 'node:crypto';

/** Gives the SHA-256 of `text` in hexadecimal. */
export function computeSha256(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
