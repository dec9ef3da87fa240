/** A moment by both clocks of a host (`Clocks`), in milliseconds. */
export type LeaseInstant = {
	/** By the clock for the host's own rights. */
	readonly held: number;
	/** By the clock for waits for others. */
	readonly wait: number;
};
