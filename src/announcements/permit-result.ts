/** Answer to a request for a permit to send one request to an upstream with a limit. */
export type PermitResult = {
	readonly isGranted: boolean;
	/** Time until the next permit is expected, in milliseconds; 0 where this one is granted. */
	readonly retryAfterMs: number;
};
