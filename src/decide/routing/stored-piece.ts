/** A sealed block in a store that holds a piece of a prompt. */
export type StoredPiece = {
	readonly key: string;
	readonly store: string;
	readonly block: number;
	readonly generation: number;
	readonly checksum: string;
	readonly bytes: number;
};
