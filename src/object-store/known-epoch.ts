/** The newest epoch of the store that a host has seen. */
export type KnownEpoch = {
	/** 0 before the first response that states one. */
	readonly number: number;
	/** When the host first saw it, in milliseconds of its own clock. */
	readonly since: number;
};
