/** What one service or workspace got. */
export type ServedShare = {
	readonly requests: number;
	readonly refused: number;
	/** Share of all served tokens. */
	readonly share: number;
	readonly p95: number;
};
