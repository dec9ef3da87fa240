/** A completion as it is sent to an engine. */
export type EngineRequest = {
	/** Unique id of this attempt; the engine repeats it in every event. */
	readonly attempt: string;
	readonly requestId: string;
	readonly model: string;
	readonly version: string;
	readonly prompt: string;
	readonly promptTokens: number;
	readonly maxTokens: number;
	readonly priority: number;
	/** Keys of the prompt's pieces, in order. */
	readonly keys: readonly string[];
	/** Index of the first token to stream. */
	readonly offset: number;
	readonly signal: AbortSignal;
	/** Longest time without a token before the stream counts as broken, in milliseconds. */
	readonly stallTimeoutMs: number;
};
