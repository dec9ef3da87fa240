/** Wire form of an upstream load; `waitingTokens` alternates priority and tokens. */
export type WireLoad = readonly [id: string, inFlight: number, heldTokens: number, ...waitingTokens: readonly number[]];
