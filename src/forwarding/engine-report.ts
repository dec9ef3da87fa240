/** What an engine reports of itself. */
export type EngineReport = {
	/** Weight version of each model. */
	readonly weights: ReadonlyMap<string, number>;
	/** Whether an order is being carried out. */
	readonly isBusy: boolean;
	/** Orders accepted since the engine started. */
	readonly orders: number;
};
