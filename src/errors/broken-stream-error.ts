/** A stream of an engine did not end whole. */
export class BrokenStreamError extends Error {
	/**
	@param message - What was seen.
	@param sent - Whether any part of the request may have reached the engine.
	@param isCut - Whether the engine closed the connection, as it does when it crashes.
	*/
	constructor(message: string, readonly sent: boolean, readonly isCut: boolean) {
		super(message);
		this.name = 'BrokenStreamError';
	}
}
