/** The platform's object API did not answer, or answered with a server error. */
export class PlatformUnavailableError extends Error {
	/**
	@param message - What was tried.
	@param tookEffect - `no` when the call provably did nothing; `unknown` when a write may have taken effect.
	*/
	constructor(message: string, readonly tookEffect: 'no' | 'unknown') {
		super(message);
		this.name = 'PlatformUnavailableError';
	}
}
