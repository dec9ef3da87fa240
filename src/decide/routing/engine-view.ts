/** State of an engine as seen by the host that routes a request. */
export type EngineView = {
	readonly name: string;
	readonly domain: string;
	/** Number of leading pieces of the prompt that the engine probably has cached. */
	readonly cachedPieces: number;
	/** Expected wait for a slot, in milliseconds. */
	readonly waitMs: number;
	readonly prefillTokensPerS: number;
	/** Network latency to the engine's failure domain, in milliseconds. */
	readonly networkLatencyMs: number;
};
