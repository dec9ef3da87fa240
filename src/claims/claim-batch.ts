/** A claim on the wire. */
export type WireClaim = readonly [number: number, upstreamId: string, priority: number, prefillTokens: number, heldTokens: number];

/** Claims of a host for upstreams whose ledgers the receiver keeps. Short field names, since a host sends up to a few hundred of these a second. */
export type ClaimBatch = {
	/** Host that claims. */
	readonly h: string;
	/** Number of its oldest claim that the receiver may still hold; lower ones have ended. */
	readonly m: number;
	/** Claims to be answered with a quote. */
	readonly c?: readonly WireClaim[] | undefined;
	/** Requests that were sent without a quote; they count and are not answered. */
	readonly n?: readonly WireClaim[] | undefined;
	/** Numbers of claims whose prefill has ended. */
	readonly a?: readonly number[] | undefined;
	/** Numbers of claims that have ended or are withdrawn. */
	readonly e?: readonly number[] | undefined;
};
