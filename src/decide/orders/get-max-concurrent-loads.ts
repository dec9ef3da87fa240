/** Share of a service's engines that load weights at once. */
const maxLoadingShare = 0.3;

/** Engines of a service of `count` that load at once; the weight store slows down where there are more. */
export function getMaxConcurrentLoads(engineCount: number): number {
	return Math.max(1, Math.ceil(engineCount * maxLoadingShare));
}
