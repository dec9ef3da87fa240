/** Permits that may be granted at once after a time without requests. */
const burst = 1.5;
/** Two hosts may issue permits for a second, each with its burst, while they do not hear each other and others hear both. */
const maxIssuers = 2;
/** Permits granted in this many seconds may be used in one: a permit is used within `permitValidMs` of the request for it. */
const windowS = 1.15;

/** Limits on the requests that may reach a cold upstream in one second: `perS * overshoot + slack`. */
type ColdBounds = {
	readonly overshoot: number;
	readonly slack: number;
};

/**
Returns the rate, in requests a second, and the burst of the permits for a cold upstream that tolerates `perS`. Fault pattern: two issuers at a
time. What both issue stays within the bound; with one, the rest of the bound is left for requests that were sent before the upstream was known to
be cold.
*/
export function getColdRate(perS: number, {overshoot, slack}: ColdBounds): {readonly perS: number; readonly burst: number} {
	const share = ((perS * overshoot) + slack - (maxIssuers * burst)) / (maxIssuers * windowS);
	return {perS: Math.max(0, Math.min(perS, share)), burst};
}
