/** A load as it is sent: upstream, requests in flight, tokens held, then urgency and tokens waiting in turn. */
export type WireLoad = readonly [id: string, inFlight: number, heldTokens: number, ...waitingTokens: readonly number[]];
