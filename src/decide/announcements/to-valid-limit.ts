/** A higher number restricts nothing that hosts could send. */
const maxRequestsPerS = 1_000_000;

/** Returns the limit that a stated number sets, in requests a second; `undefined` for numbers that are none, negative or huge. */
export function toValidLimit(requestsPerS: number | undefined): number | undefined {
	return requestsPerS !== undefined && requestsPerS >= 0 && requestsPerS <= maxRequestsPerS ? requestsPerS : undefined;
}
