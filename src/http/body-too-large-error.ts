/** A request body is longer than its limit. */
export class BodyTooLargeError extends Error {
	constructor(readonly limitBytes: number) {
		super(`body is longer than ${limitBytes} bytes`);
		this.name = 'BodyTooLargeError';
	}
}
