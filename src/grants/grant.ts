/** A slot of an engine that this host may use now. */
export type Grant = {
	readonly id: string;
	readonly engine: string;
	/** Leading pieces that the engine caches, as its owner knows; `undefined` without an owner. */
	readonly cachedPieces: number | undefined;
	/** Gives the slot back with the tokens that the run took, and says whether the engine failed it. */
	readonly release: (tokens: number, hasFailed: boolean) => void;
};
