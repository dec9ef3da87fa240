/** The crash of one start of an upstream. */
export type UpstreamCrash = {
	readonly upstream: string;
	/** Start of the upstream in Unix milliseconds; 0 when unknown. */
	readonly startedAt: number;
};
