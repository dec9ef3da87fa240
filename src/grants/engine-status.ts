/** Status of an engine, published by its owner to all hosts whenever it changes. */
export type EngineStatus = {
	/** Loaded model versions, `model@version`. */
	readonly loaded: readonly string[];
	readonly leaving: boolean;
	/** Whether the engine responds to its owner and is not ejected for failed runs. */
	readonly isUp: boolean;
};
