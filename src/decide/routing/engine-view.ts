/** What a receiving host knows of an engine when it routes. */
export type EngineView = {
	readonly name: string;
	readonly domain: string;
	/** Leading pieces of the prompt that the engine is believed to cache. */
	readonly cachedPieces: number;
	/** Expected wait for a slot, in milliseconds. */
	readonly waitMs: number;
	readonly prefillTokensPerS: number;
	/** Message time to the engine and its owner, in milliseconds. */
	readonly networkLatencyMs: number;
};
