/** A slot of an engine that was granted to this host. */
export type Grant = {
	readonly id: string;
	readonly engine: string;
	/** Number of the prompt's leading pieces that the engine's owner knows to be in the engine's cache; `undefined` when no owner granted the slot. */
	readonly cachedPieces: number | undefined;
	/** Releases the slot and reports the tokens that the run used and whether the engine failed it. */
	readonly release: (tokens: number, hasFailed: boolean) => void;
};
