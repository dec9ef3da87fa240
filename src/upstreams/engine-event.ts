/** An event of an engine's completion stream. */
export type EngineEvent
	= | {readonly kind: 'token'; readonly index: number; readonly text: string}
		| {readonly kind: 'end'; readonly promptTokens: number; readonly cachedTokens: number; readonly completionTokens: number};
