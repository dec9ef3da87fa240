/** Token counts of a completion. */
export type Usage = {
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly completionTokens: number;
};
