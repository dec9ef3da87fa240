/** Remembers how long engines made requests wait, as their owners last said. */
export type EngineWaitEstimator = {
	readonly record: (engine: string, waitMs: number, now: number) => void;
	/** A request was sent there; its wait counts until the owner says otherwise. */
	readonly estimateWaitMs: (engine: string, now: number) => number;
};
