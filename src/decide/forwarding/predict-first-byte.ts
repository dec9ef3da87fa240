import {type UpstreamView} from './upstream-view.js';
import {type LatencyParameters} from './latency-parameters.js';
import {type PlacementDemand} from './placement-demand.js';

/** Above this share of its memory an engine preempts running requests, whose prompts it must then prefill again. */
const maxMemoryShare = 0.9;

/** Computes how much memory an engine lacks for another request, in tokens. */
function computeMemoryShortage({heldTokens}: UpstreamView, demand: PlacementDemand): number {
	return demand.kvCapacityTokens === undefined ? 0 : Math.max(0, heldTokens + demand.heldTokens - (demand.kvCapacityTokens * maxMemoryShare));
}

/**
Predicts the time to the first byte at an upstream, in milliseconds: prefill of the prompts ahead and of this one, slow-down by requests in
flight, wait for memory and for a slot, and network latency. Load pattern: engines whose memory, not their number of slots, limits how
many prompts run at once.

@param domain - Failure domain of this host.
*/
export function predictFirstByte(view: UpstreamView, demand: PlacementDemand, parameters: LatencyParameters, domain: string): number {
	const {upstream, inFlight, waitingTokens, pace} = view;
	// An upstream that is not warm runs no more requests at a time than its limit.
	const slots = Math.min(upstream.slots, pace?.limit ?? upstream.slots);
	const memoryWaitMs = computeMemoryShortage(view, demand) / (demand.kvCapacityTokens ?? 1) * parameters.residenceMs;
	const slotWaitMs = Math.max(0, inFlight + 1 - slots) / Math.max(1, slots) * parameters.residenceMs;
	return parameters.baseMs
		+ (waitingTokens / parameters.prefillTokensPerMs)
		+ demand.promptReadyMs
		+ (inFlight * parameters.perRequestMs)
		+ memoryWaitMs
		+ slotWaitMs
		+ (upstream.domain === domain ? 0 : parameters.crossDomainMs);
}
