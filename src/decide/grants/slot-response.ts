/** An engine owner's response to a granted slot request. */
export type SlotResponse = {
	/** Number of leading pieces of the prompt that the engine has cached, as last reported to the owner. */
	readonly cachedPieces: number;
	/** Expected wait of a new request at this engine, in milliseconds. */
	readonly waitMs: number;
};
