import {type UpstreamView} from './upstream-view.js';
import {type LatencyParameters} from './latency-parameters.js';
import {type PlacementDemand} from './placement-demand.js';

/** Above this share of its memory an engine preempts runs, which then read their prompts again. */
const maxMemoryShare = 0.9;

/** Tokens that an engine is short of for another request. */
function computeMemoryShortage({heldTokens}: UpstreamView, demand: PlacementDemand): number {
	return demand.kvCapacityTokens === undefined ? 0 : Math.max(0, heldTokens + demand.heldTokens - (demand.kvCapacityTokens * maxMemoryShare));
}

/**
Predicts the time to the first byte at an upstream, in milliseconds: reading what waits ahead and what is missing, the
slow-down by requests in flight, and the wait for memory or for a slot. Load pattern: engines whose memory, not their slots,
limits how many prompts run at once.
*/
export function predictFirstByte(view: UpstreamView, demand: PlacementDemand, parameters: LatencyParameters, domain: string): number {
	const {upstream, inFlight, waitingTokens} = view;
	const memoryWaitMs = computeMemoryShortage(view, demand) / (demand.kvCapacityTokens ?? 1) * parameters.residenceMs;
	const slotWaitMs = Math.max(0, inFlight + 1 - upstream.slots) / Math.max(1, upstream.slots) * parameters.residenceMs;
	return parameters.baseMs
		+ (waitingTokens / parameters.prefillTokensPerMs)
		+ demand.promptReadyMs
		+ (inFlight * parameters.perRequestMs)
		+ memoryWaitMs
		+ slotWaitMs
		+ (upstream.domain === domain ? 0 : parameters.crossDomainMs);
}
