/** Summary of the requests of one service or workspace. */
export type ServingSummary = {
	readonly requests: number;
	readonly refused: number;
	/** Share of the served tokens of the whole run. */
	readonly share: number;
	/** 95th percentile of the time to first token, in milliseconds. */
	readonly p95: number;
};
