/** A fixed-length piece of a prompt; the last one may be shorter. */
export type PromptPiece = {
	/** Hash of the previous piece's key, the text and the scope. */
	readonly key: string;
	readonly tokens: number;
	/** Whether the piece has the full length; only such pieces are cached. */
	readonly isWhole: boolean;
};
