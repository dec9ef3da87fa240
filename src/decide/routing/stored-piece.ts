/** A sealed, that is completely written, block in a store that holds a piece of a prompt. */
export type StoredPiece = {
	readonly key: string;
	readonly store: string;
	readonly block: number;
	/** Generation of the block's content; a block with another one no longer holds this piece. */
	readonly generation: number;
	readonly checksum: string;
	readonly bytes: number;
};
