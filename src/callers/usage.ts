/** Tokens that a completion took. */
export type Usage = {
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly completionTokens: number;
};
