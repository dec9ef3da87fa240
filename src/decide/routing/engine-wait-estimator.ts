/** Estimates the wait for a slot of each engine, from what the engine's owner last reported. Times are in milliseconds. */
export type EngineWaitEstimator = {
	/** Records the wait that the owner of an engine reported. */
	readonly record: (engine: string, waitMs: number, now: number) => void;
	/** Returns the expected wait; 0 for an engine without a report. */
	readonly estimateWaitMs: (engine: string, now: number) => number;
};
