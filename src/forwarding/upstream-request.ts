/** What is sent to an upstream. */
export type UpstreamRequest = {
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** Names and values in turn. */
	readonly headers: string[];
	readonly body: Buffer | undefined;
};
