/** Whether a host and the others hear each other. */
export type HostReach = {
	/** Time since each other host of the last minute was heard, in milliseconds. */
	readonly heardAgesMs: readonly number[];
	/** Number of other hosts that were heard a moment ago and do not report that they do not hear this one. */
	readonly inReach: number;
};
