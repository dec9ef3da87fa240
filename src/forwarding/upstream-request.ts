/** An HTTP request to an upstream. */
export type UpstreamRequest = {
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** Alternating names and values. */
	readonly headers: string[];
	readonly body: Buffer | undefined;
};
