/** A part that is being saved into a store, or whose save broke off. */
export type UnfinishedSave = {
	readonly scope: string;
	readonly part: string;
	/** Tokens that the store has so far. */
	readonly doneTokens: number;
	/** Tokens that the store keeps room for. */
	readonly reservedTokens: number;
};
