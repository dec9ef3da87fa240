/** An HTTP request to an upstream. */
export type UpstreamRequest = {
	/** Id of the caller's request, which its response repeats. */
	readonly id: string;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** Alternating names and values. */
	readonly headers: string[];
	readonly body: Buffer | undefined;
};
