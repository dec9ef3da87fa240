/** What one service or workspace got. */
export type ServingSummary = {
	readonly requests: number;
	readonly refused: number;
	/** Share of all served tokens. */
	readonly share: number;
	readonly p95: number;
};
