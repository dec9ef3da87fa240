/** How much time is left for a roll-out. */
export type RolloutUrgency = {
	/** Time for which requests can still be sent to all engines that they can be sent to now, in milliseconds; positive. */
	readonly usableForMs: number;
	/** Expected time from the choice of an engine until it has the desired weights, in milliseconds. */
	readonly updateMs: number;
};
