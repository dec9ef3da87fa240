/** An upstream did not send a complete response. */
export class UpstreamResponseError extends Error {
	/**
	@param message - Description of the failure.
	@param mayHaveRun - Whether the upstream may have run the request; `false` when no part of it was sent or the engine responded with 409 or 503.
	@param isConnectionClosed - Whether the upstream closed the connection, as it does when it crashes.
	*/
	constructor(message: string, readonly mayHaveRun: boolean, readonly isConnectionClosed: boolean) {
		super(message);
		this.name = 'UpstreamResponseError';
	}
}
