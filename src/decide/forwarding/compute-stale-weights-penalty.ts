import {getUsableForMs} from '../weights/get-usable-for-ms.js';

/** State of an engine's weights. Times are in milliseconds. */
type StaleWeightsInput = {
	/** Time for which there have been weights newer than the engine's (`WeightAges`): `undefined` when there are none, infinite when nobody knows. */
	readonly staleForMs: number | undefined;
	/** Time after which no request may start on stale weights. */
	readonly maxStaleMs: number;
	/** Time to the first byte that the caller aims for. */
	readonly objectiveMs: number;
	/** Predicted time for which a request sent now waits at the engine. */
	readonly waitMs: number;
};

/** A response from stale weights counts like one that is later by this share of the objective. */
const penaltyShare = 0.25;

/**
Computes the penalty for stale weights when an engine is chosen, in milliseconds to add to its predicted time to the first byte. Load
pattern: a roll-out of weights under load, while the engines that already have the new weights can't take all the work.

@returns `undefined` when the engine can't be used any more.
*/
export function computeStaleWeightsPenalty({staleForMs, maxStaleMs, objectiveMs, waitMs}: StaleWeightsInput): number | undefined {
	if (staleForMs === undefined) {
		return 0;
	}

	return waitMs > getUsableForMs(staleForMs, maxStaleMs) ? undefined : objectiveMs * penaltyShare;
}
