import {type UpstreamView} from './upstream-view.js';
import {type PlacementCosts} from './placement-costs.js';
import {type PlacementSize} from './placement-size.js';

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
