const timeoutFactor = 4;
const minTimeoutMs = 200;

/**
Returns the time after which a fetch is cancelled and the missing pieces are recomputed, in milliseconds. Without it, a link that slows down
during a fetch would hold up the request.

@param expectedMs - Expected duration of the fetch.
*/
export function getFetchTimeoutMs(expectedMs: number): number {
	return Math.max(minTimeoutMs, timeoutFactor * expectedMs);
}
