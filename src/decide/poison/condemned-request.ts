/** A request that is refused since it crashes the upstreams that run it. */
export type CondemnedRequest = {
	readonly digest: string;
	/** When the refusal ends, in Unix milliseconds. */
	readonly until: number;
};
