/** How a piece has been used, for its value. */
export type PieceUsage = {
	readonly uses: number;
	/** Time since the last use, in milliseconds. */
	readonly ageMs: number;
	readonly tokens: number;
	readonly bytes: number;
	/** Place in the prompt, from 0; a piece is useless without those before it. */
	readonly depth: number;
};
