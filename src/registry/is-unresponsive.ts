import {type UpstreamEntry} from './upstream-entry.js';

/**
An upstream is unresponsive when it has sent no response head for this time plus `unresponsiveFactor` times the mean head
latency of its service, while a request waits for one.
*/
const unresponsiveBaseMs = 900;
const unresponsiveFactor = 4;

/** Returns whether a request has waited too long for a response head of an upstream. Times are in milliseconds. */
export function isUnresponsive({waiting, lastAnswerAt}: UpstreamEntry, meanHeadLatencyMs: number, now: number): boolean {
	let oldest = Number.POSITIVE_INFINITY;
	for (const {since} of waiting) {
		oldest = Math.min(oldest, since);
	}

	return now - Math.max(oldest, lastAnswerAt) > unresponsiveBaseMs + (unresponsiveFactor * meanHeadLatencyMs);
}
