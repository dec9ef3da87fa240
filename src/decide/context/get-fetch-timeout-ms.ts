const timeoutFactor = 4;
const minTimeoutMs = 200;

/**
Gives how long a fetch may take before it is given up and the rest recomputed, in milliseconds. A link that slows while a
fetch is under way would otherwise hold the request.

@param expectedMs - Time that the fetch was expected to take.
*/
export function getFetchTimeoutMs(expectedMs: number): number {
	return Math.max(minTimeoutMs, timeoutFactor * expectedMs);
}
