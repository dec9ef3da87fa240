/** State of an engine's weights. Times are in milliseconds. */
type StaleWeightsInput = {
	/** Time since this host learned of weights newer than the engine's; `undefined` when it knows of none. */
	readonly staleForMs: number | undefined;
	/** Whether the newer weights became the desired ones `staleForMs` ago; a host that has just started doesn't know when. */
	readonly isStaleTimeExact: boolean;
	/** Time after which no request may start on stale weights. */
	readonly maxStaleMs: number;
	/** Time to the first byte that the caller aims for. */
	readonly objectiveMs: number;
};

/** Longest usual wait in an engine's queue: a request sent now starts up to this much later. */
const maxQueueMs = 2500;
/** A response from stale weights counts like one that is later by this share of the objective. */
const penaltyShare = 0.25;

/**
Computes the penalty for stale weights when an engine is chosen, in milliseconds to add to its predicted time to the first byte. Load
pattern: a roll-out of weights under load, while the engines that already have the new weights can't take all the work.

@returns `undefined` when the engine can't be used any more.
*/
export function computeStaleWeightsPenalty({staleForMs, isStaleTimeExact, maxStaleMs, objectiveMs}: StaleWeightsInput): number | undefined {
	if (staleForMs === undefined) {
		return 0;
	}

	if (staleForMs > maxStaleMs - maxQueueMs) {
		return undefined;
	}

	return isStaleTimeExact ? objectiveMs * penaltyShare : objectiveMs;
}
