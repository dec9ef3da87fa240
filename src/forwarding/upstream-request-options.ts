/** What the gateway adds to a request on its way to an upstream. */
export type UpstreamRequestOptions = {
	readonly upstreamId: string;
	readonly deadlineMs: number;
	readonly workspace: string | undefined;
	/** The last event delivered, where a stream is resumed. */
	readonly resumeAfter: string | undefined;
	/** Rank at the engine, from 0 (first) to 9. */
	readonly priority: number | undefined;
	/** Engines with other weights answer that they did not run the request. */
	readonly weightVersion: number | undefined;
	/** Kept context is found only under the same scope. */
	readonly scope: string | undefined;
	/** Address to read each part of the prompt from; `undefined` where it is not read from elsewhere. */
	readonly fetchFrom: ReadonlyArray<string | undefined>;
	/** Engine's clock, in milliseconds, at which an unfinished fetch is given up. */
	readonly fetchUntil: number | undefined;
	/** Address of the store that each part is saved to; `undefined` where it is not saved. */
	readonly saveTo: ReadonlyArray<string | undefined>;
};
