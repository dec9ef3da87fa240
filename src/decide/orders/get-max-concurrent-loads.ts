/** Maximum share of a service's engines that load weights at the same time. */
const maxLoadingShare = 0.3;

/**
Returns how many of a service's `engineCount` engines may load weights at the same time. More concurrent loads would slow
down the weight store.
*/
export function getMaxConcurrentLoads(engineCount: number): number {
	return Math.max(1, Math.ceil(engineCount * maxLoadingShare));
}
