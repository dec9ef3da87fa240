import {type PermitResult} from '../../announcements/permit-result.js';

const msPerS = 1000;
/** Permits that may be granted at once after a time without requests: as many as fall due in this time, and at least `minBurst`. */
const burstMs = 250;
const minBurst = 2;
/** An upstream that takes nothing gets a request now and then, since only a response tells that its limit has ended. */
const minRequestsPerS = 1 / 30;
/** A host that was denied a permit counts as waiting for this long. */
const waitingMs = 1000;
/** Of hosts that wait, each is told a time within this share of what all of them together need. */
const waitSpread = 0.5;
const maxSpreadMs = 3000;
const minRetryAfterMs = 20;

/** Permits for the requests to one upstream. Times are in milliseconds. */
type PermitBucket = {
	/** Grants a permit to a host if one is due. */
	readonly take: (host: string, requestsPerS: number, now: number) => PermitResult;
	/** Counts a request that is sent in any case; those that come later make up for it. */
	readonly charge: (requestsPerS: number, now: number) => void;
};

/**
Creates the permits of one upstream: a token bucket, empty at first. A host that is denied a permit is told when to ask again, spread over the
time that all waiting hosts need. Load pattern: many hosts that want to send to an upstream that takes few requests.

@param maxBurst - Permits that may be granted at once; left out for a burst that grows with the rate.
*/
export function createPermitBucket(random: () => number, maxBurst?: number): PermitBucket {
	const waiting = new Map<string, number>();
	let permits = 0;
	let filledAt: number | undefined;

	const fill = (requestsPerS: number, now: number): number => {
		const rate = Math.max(minRequestsPerS, requestsPerS);
		const burst = maxBurst ?? Math.max(minBurst, rate * burstMs / msPerS);
		permits = Math.min(burst, permits + (rate * Math.max(0, now - (filledAt ?? now)) / msPerS));
		filledAt = now;
		return rate;
	};

	const countWaiting = (now: number): number => {
		for (const [host, at] of waiting) {
			if (now - at > waitingMs) {
				waiting.delete(host);
			}
		}

		return waiting.size;
	};

	return {
		take(host, requestsPerS, now) {
			const rate = fill(requestsPerS, now);
			if (permits >= 1) {
				permits--;
				waiting.delete(host);
				return {isGranted: true, retryAfterMs: 0};
			}

			waiting.set(host, now);
			const dueMs = (1 - permits) * msPerS / rate;
			const spreadMs = Math.min(maxSpreadMs, (countWaiting(now) - 1) * waitSpread * msPerS / rate);
			return {isGranted: false, retryAfterMs: Math.max(minRetryAfterMs, Math.ceil(dueMs + (spreadMs * random())))};
		},
		charge(requestsPerS, now) {
			fill(requestsPerS, now);
			permits--;
		},
	};
}
