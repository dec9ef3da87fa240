import {type Readable} from 'node:stream';
import {BodyTooLargeError} from './body-too-large-error.js';

/**
Reads a whole body as UTF-8 text.

@throws {BodyTooLargeError} When it is longer than `limitBytes`.
@throws {Error} When the sender closes the connection before its end.
*/
export async function readBody(body: Readable, limitBytes: number): Promise<string> {
	const chunks: Buffer[] = [];
	let size = 0;
	for await (const chunk of body) {
		size += (chunk as Buffer).length;
		if (size > limitBytes) {
			throw new BodyTooLargeError(limitBytes);
		}

		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks).toString('utf8');
}
