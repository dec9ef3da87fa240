/** A host's wish to run a request that may not be repeated. */
export type IdempotencyClaim = {
	/** Digest of workspace, service and idempotency key. */
	readonly key: string;
	/** Digest of the request's route and body. */
	readonly digest: string;
	/** Identity of this claim, unique in the system. */
	readonly id: string;
	/** Name and incarnation of the host that sends the request when the claim is granted. */
	readonly holder: string;
};
