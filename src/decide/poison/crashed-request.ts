/** What is compared of requests that were in flight at upstreams that crashed. */
export type CrashedRequest = {
	readonly digest: string;
	readonly workspace: string;
	/** Parts of the prompt that other requests may share, in order, each with its model. */
	readonly parts: readonly string[];
};
