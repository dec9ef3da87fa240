/** The state that an engine reports. */
export type EngineReport = {
	/** Weight version of each model. */
	readonly weights: ReadonlyMap<string, number>;
	/** Whether the engine is carrying out an order. */
	readonly isBusy: boolean;
	/** Orders accepted since the engine started. */
	readonly orders: number;
	/** Time by the clock that all engines share, in milliseconds; `undefined` when the engine does not state it. */
	readonly clockMs: number | undefined;
};
