import {type CondemnedRequest} from './condemned-request.js';

/** Limits the size of the stored list. */
const maxRequests = 500;

/**
Adds condemned requests to the stored ones, and drops those whose refusal has ended and the oldest above the limit.

@param now - In Unix milliseconds.
*/
export function mergeCondemnedRequests(stored: readonly CondemnedRequest[], added: readonly CondemnedRequest[], now: number): readonly CondemnedRequest[] {
	const byDigest = new Map([...stored, ...added].map(request => [request.digest, request]));
	return [...byDigest.values()]
		.filter(({until}) => until > now)
		.toSorted((a, b) => b.until - a.until)
		.slice(0, maxRequests);
}
