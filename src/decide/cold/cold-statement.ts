/** What a source says of the coldness of an upstream. Times are in milliseconds of the monotonic clock. */
export type ColdStatement = {
	/** How much longer it stays cold, counted from `answeredAt`; 0 for a warm upstream. */
	readonly forMs: number;
	/** When the source was asked. */
	readonly askedAt: number;
	/** When it answered. */
	readonly answeredAt: number;
};
