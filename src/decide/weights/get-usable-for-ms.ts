/** A request may wait at the engine this much longer than predicted. */
const maxExtraWaitMs = 2500;

/**
Returns for how long an engine with stale weights can still be sent requests that don't wait there, in milliseconds; not positive when it can't.

@param staleForMs - Time for which there have been newer weights.
@param maxStaleMs - Time after which no request may start on stale weights.
*/
export function getUsableForMs(staleForMs: number, maxStaleMs: number): number {
	return maxStaleMs - maxExtraWaitMs - staleForMs;
}
