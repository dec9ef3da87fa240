import {type RolloutUrgency} from './rollout-urgency.js';

/** Maximum share of a service's engines that load weights at the same time. */
const maxLoadingShare = 0.3;
/** The same when they could not all be updated before the old weights can't be used any more. */
const maxUrgentShare = 0.5;

/**
Returns how many of a service's `engineCount` engines may load weights at the same time. More concurrent loads would slow
down the weight store, and leave fewer engines to serve.

@param behind - Number of engines that don't have the desired weights, those that load them included.
*/
export function getMaxConcurrentLoads(engineCount: number, behind = 0, urgency?: RolloutUrgency): number {
	const usual = Math.max(1, Math.ceil(engineCount * maxLoadingShare));
	if (!urgency) {
		return usual;
	}

	const needed = Math.ceil(behind * urgency.updateMs / urgency.usableForMs);
	return Math.max(usual, Math.min(needed, Math.ceil(engineCount * maxUrgentShare)));
}
