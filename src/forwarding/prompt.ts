/** Description of a prompt in a request's headers. */
export type Prompt = {
	readonly model: string;
	readonly promptTokens: number;
	/** Maximum number of tokens to generate. */
	readonly outputTokens: number;
	/** Parts of the prompt in order; all but the last may be shared with other requests. */
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	/** The caller's estimate of the generated tokens; accurate only at the median. */
	readonly expectedOutputTokens: number | undefined;
};
