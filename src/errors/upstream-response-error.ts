/** An upstream did not send a complete response. */
export class UpstreamResponseError extends Error {
	/**
	@param message - Description of the failure.
	@param mayHaveBeenSent - Whether any part of the request may have reached the upstream.
	@param isConnectionClosed - Whether the upstream closed the connection, as it does when it crashes.
	*/
	constructor(message: string, readonly mayHaveBeenSent: boolean, readonly isConnectionClosed: boolean) {
		super(message);
		this.name = 'UpstreamResponseError';
	}
}
