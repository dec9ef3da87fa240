/** A stream of an engine did not end whole. */
export class UpstreamResponseError extends Error {
	/**
	@param message - What was seen.
	@param mayHaveBeenSent - Whether any part of the request may have reached the engine.
	@param isConnectionClosed - Whether the engine closed the connection, as it does when it crashes.
	*/
	constructor(message: string, readonly mayHaveBeenSent: boolean, readonly isConnectionClosed: boolean) {
		super(message);
		this.name = 'UpstreamResponseError';
	}
}
