/** The platform's object API did not respond, or responded with a server error. */
export class PlatformUnavailableError extends Error {
	/**
	@param message - The call that failed, and how.
	@param tookEffect - `no` when the call provably did nothing; `unknown` when a write may have taken effect.
	*/
	constructor(message: string, readonly tookEffect: 'no' | 'unknown') {
		super(message);
		this.name = 'PlatformUnavailableError';
	}
}
