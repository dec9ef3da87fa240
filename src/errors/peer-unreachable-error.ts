/** A peer gave no answer; whether it acted is not known. */
export class PeerUnreachableError extends Error {
	constructor(readonly address: string, readonly method: string, cause: unknown) {
		super(`peer ${address} did not answer ${method}: ${String(cause)}`, {cause});
		this.name = 'PeerUnreachableError';
	}
}
