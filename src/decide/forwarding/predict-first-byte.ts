import {type UpstreamView} from './upstream-view.js';

/** What a prediction weighs. Times are in milliseconds. */
export type PlacementCosts = {
	/** Prompt tokens that an engine reads in a millisecond. */
	readonly tokensPerMs: number;
	/** Time to the first byte at an idle upstream, without reading. */
	readonly baseMs: number;
	/** Time that each request in flight adds. */
	readonly requestMs: number;
	readonly otherDomainMs: number;
	/** Time that a request stays at an engine, for the wait for memory. */
	readonly stayMs: number;
};

/** What is sent. */
export type PlacementSize = {
	/** Time until the upstream has the whole prompt, its queue apart, in milliseconds. */
	readonly readMs: number;
	/** Memory that the request takes, in tokens. */
	readonly heldTokens: number;
	/** Memory of an upstream, in tokens; `undefined` where that is no limit. */
	readonly memoryTokens: number | undefined;
};

/** Above this share of its memory an engine preempts runs, which then read their prompts again. */
const fullShare = 0.9;

/** Tokens that an engine is short of for another request. */
function shortTokens({heldTokens}: UpstreamView, size: PlacementSize): number {
	return size.memoryTokens === undefined ? 0 : Math.max(0, heldTokens + size.heldTokens - (size.memoryTokens * fullShare));
}

/**
Predicts the time to the first byte at an upstream, in milliseconds: reading what waits ahead and what is missing, the
slow-down by requests in flight, and the wait for memory or for a slot. Load pattern: engines whose memory, not their slots,
limits how many prompts run at once.
*/
export function predictFirstByte(view: UpstreamView, size: PlacementSize, costs: PlacementCosts, domain: string): number {
	const {upstream, inFlight, waitingTokens} = view;
	const memoryMs = shortTokens(view, size) / (size.memoryTokens ?? 1) * costs.stayMs;
	const slotsMs = Math.max(0, inFlight + 1 - upstream.slots) / Math.max(1, upstream.slots) * costs.stayMs;
	return costs.baseMs
		+ (waitingTokens / costs.tokensPerMs)
		+ size.readMs
		+ (inFlight * costs.requestMs)
		+ memoryMs
		+ slotsMs
		+ (upstream.domain === domain ? 0 : costs.otherDomainMs);
}
