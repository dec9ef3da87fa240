/** A host's claim of an idempotency key, made before it sends a request that must not run twice. */
export type IdempotencyClaim = {
	/** Digest of workspace, service and idempotency key. */
	readonly key: string;
	/** Digest of the request's route and body. */
	readonly digest: string;
	/** Identifier of this claim, unique across all hosts. */
	readonly id: string;
	/** Name and incarnation of the host that sends the request once the claim is granted. */
	readonly holder: string;
};
