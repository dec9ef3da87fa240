import {createHash} from 'node:crypto';

/** Returns the SHA-256 digest of `text` in hexadecimal. */
export function computeSha256(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
