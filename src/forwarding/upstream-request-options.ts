/** Options that the gateway adds to a request to an upstream. */
export type UpstreamRequestOptions = {
	readonly upstreamId: string;
	readonly deadlineMs: number;
	readonly workspace: string | undefined;
	/** Id of the last delivered event, when a stream is resumed. */
	readonly resumeAfter: string | undefined;
	/** Priority at the engine, from 0 (first) to 9. */
	readonly priority: number | undefined;
	/** Weight version that the request requires; an engine with another one refuses to run it. */
	readonly weightVersion: number | undefined;
	/** Scope of the KV cache; parts are reused only within the same scope. */
	readonly scope: string | undefined;
	/** Address to fetch the KV cache of each prompt part from; `undefined` for a part that is not fetched. */
	readonly fetchFrom: ReadonlyArray<string | undefined>;
	/** Time at which an unfinished fetch is aborted, in milliseconds of the store's clock. */
	readonly fetchUntil: number | undefined;
	/** Address of the KV cache store that each part is saved to; `undefined` for a part that is not saved. */
	readonly saveTo: ReadonlyArray<string | undefined>;
};
