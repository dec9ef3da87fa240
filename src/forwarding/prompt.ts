/** What a request says of its prompt. */
export type Prompt = {
	readonly model: string;
	readonly promptTokens: number;
	/** Most tokens that are generated. */
	readonly outputTokens: number;
	/** Parts of the prompt in order; all but the last may be shared with other requests. */
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	/** The caller's estimate of the tokens generated; right at the median only. */
	readonly expectedOutputTokens: number | undefined;
};
