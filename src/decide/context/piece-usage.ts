/** Usage of a prompt piece, from which its retention score is computed. */
export type PieceUsage = {
	/** Number of requests that used the piece. */
	readonly uses: number;
	/** Time since the last use, in milliseconds. */
	readonly ageMs: number;
	readonly tokens: number;
	readonly bytes: number;
	/** Index in the prompt, from 0. A piece can be used only together with all pieces before it. */
	readonly depth: number;
};
