/** An engine's load report, which may lag behind its current state. */
export type EngineLoadReport = {
	readonly running: number;
	readonly queued: number;
	readonly slots: number;
	readonly leaving: boolean;
	/** Loaded model versions, `model@version`. */
	readonly loaded: readonly string[];
};
