import {createHash} from 'node:crypto';

/** Gives the SHA-256 of `text` in hexadecimal. */
export function digest(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
