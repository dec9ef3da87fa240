/** Answer of an engine's owner to a granted request. */
export type SlotResponse = {
	/** Leading pieces of the prompt that the engine caches, as far as the owner knows. */
	readonly cachedPieces: number;
	/** How long a new request would wait at this engine, in milliseconds. */
	readonly waitMs: number;
};
