/** An upstream that a host takes to be cold, as it tells hosts that start. */
export type ReportedColdness = {
	/** Id of the upstream. */
	readonly id: string;
	/** Start of the upstream, in Unix milliseconds; left out where unknown. */
	readonly startedAt?: number | undefined;
	/** How much longer it is taken to be cold, in milliseconds. */
	readonly forMs: number;
};
