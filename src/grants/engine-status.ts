/** What an engine's owner tells all hosts of it, on change only. */
export type EngineStatus = {
	/** Loaded model versions, `model@version`. */
	readonly loaded: readonly string[];
	readonly leaving: boolean;
	/** Whether it answers its owner and does not fail one run after the other. */
	readonly isUp: boolean;
};
