/** A peer did not respond; whether it executed the call is unknown. */
export class PeerUnreachableError extends Error {
	constructor(readonly address: string, readonly method: string, cause: unknown) {
		super(`peer ${address} did not answer ${method}: ${String(cause)}`, {cause});
		this.name = 'PeerUnreachableError';
	}
}
