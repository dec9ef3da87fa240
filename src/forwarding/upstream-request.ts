/** An HTTP request to an upstream. */
export type UpstreamRequest = {
	/** Id of the caller's request, which its response repeats. */
	readonly id: string;
	/** Whether it may run more than once, so that a refusal need not be proved to be its own. */
	readonly mayRepeat: boolean;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** Alternating names and values. */
	readonly headers: string[];
	readonly body: Buffer | undefined;
};
