/** A sealed block that holds a piece of the prompt. */
export type StoredPiece = {
	readonly key: string;
	readonly store: string;
	readonly block: number;
	readonly generation: number;
	readonly checksum: string;
	readonly bytes: number;
};
