/** What is known of an engine's weights. Times are in milliseconds. */
type StaleWeightsInput = {
	/** Time since weights newer than the engine's were known; `undefined` when none are. */
	readonly staleForMs: number | undefined;
	/** Whether that is the time since the naming; a host that has just started can't tell. */
	readonly isAgeKnown: boolean;
	/** Time after which no request may begin on replaced weights. */
	readonly maxStaleMs: number;
	readonly objectiveMs: number;
};

/** A request begins at the engine after its wait there, which is at most about this long. */
const maxQueueMs = 2500;
/** An answer on replaced weights is taken for worth as much less as one that comes later by this share of its objective. */
const penaltyShare = 0.25;

/**
Weighs replaced weights when an engine is chosen: `undefined` when the engine can't be used, else the time that it is put
back by, in milliseconds. Load pattern: a roll-out of weights under load, where the engines that have the new weights can't
take all the work.
*/
export function computeStaleWeightsPenalty({staleForMs, isAgeKnown, maxStaleMs, objectiveMs}: StaleWeightsInput): number | undefined {
	if (staleForMs === undefined) {
		return 0;
	}

	if (staleForMs > maxStaleMs - maxQueueMs) {
		return undefined;
	}

	return isAgeKnown ? objectiveMs * penaltyShare : objectiveMs;
}
