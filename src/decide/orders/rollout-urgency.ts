/** How much time is left for a roll-out. */
export type RolloutUrgency = {
	/** Time for which requests can still be sent to the engines with the oldest weights, in milliseconds. */
	readonly usableForMs: number;
	/** Expected time from the choice of an engine until it has the desired weights, in milliseconds. */
	readonly updateMs: number;
};
