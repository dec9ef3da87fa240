import {type UpstreamView} from './upstream-view.js';
import {type LatencyParameters} from './latency-parameters.js';
import {type PlacementDemand} from './placement-demand.js';

/** Above this share of its memory an engine preempts runs, which then read their prompts again. */
const fullShare = 0.9;

/** Tokens that an engine is short of for another request. */
function shortTokens({heldTokens}: UpstreamView, size: PlacementDemand): number {
	return size.kvCapacityTokens === undefined ? 0 : Math.max(0, heldTokens + size.heldTokens - (size.kvCapacityTokens * fullShare));
}

/**
Predicts the time to the first byte at an upstream, in milliseconds: reading what waits ahead and what is missing, the
slow-down by requests in flight, and the wait for memory or for a slot. Load pattern: engines whose memory, not their slots,
limits how many prompts run at once.
*/
export function predictFirstByte(view: UpstreamView, size: PlacementDemand, costs: LatencyParameters, domain: string): number {
	const {upstream, inFlight, waitingTokens} = view;
	const memoryMs = shortTokens(view, size) / (size.kvCapacityTokens ?? 1) * costs.residenceMs;
	const slotsMs = Math.max(0, inFlight + 1 - upstream.slots) / Math.max(1, upstream.slots) * costs.residenceMs;
	return costs.baseMs
		+ (waitingTokens / costs.prefillTokensPerMs)
		+ size.promptReadyMs
		+ (inFlight * costs.perRequestMs)
		+ memoryMs
		+ slotsMs
		+ (upstream.domain === domain ? 0 : costs.crossDomainMs);
}
