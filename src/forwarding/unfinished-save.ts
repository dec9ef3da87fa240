/** A part that is being saved to a KV cache store, or whose save was interrupted. */
export type UnfinishedSave = {
	readonly scope: string;
	readonly part: string;
	/** Tokens that the store has received so far. */
	readonly doneTokens: number;
	/** Tokens that the store has reserved space for. */
	readonly reservedTokens: number;
};
