import {type StatedLimit} from '../../announcements/stated-limit.js';

const toNumber = ({requestsPerS}: StatedLimit): number => requestsPerS ?? Number.POSITIVE_INFINITY;

/**
Returns what holds of two statements of one start of an upstream. A later one replaces an earlier one. Which of two came first is known only
where the request of one was sent after the response to the other had arrived; of others the lower limit holds. Fault pattern: responses that
overtake each other, and heads of responses that take long.

@param marginMs - Error of the times, in milliseconds; above 0 where another host reported one of them.
*/
export function mergeStatedLimits(known: StatedLimit, stated: StatedLimit, marginMs: number): StatedLimit {
	if (stated.askedAt >= known.answeredAt + marginMs) {
		return stated;
	}

	if (known.askedAt >= stated.answeredAt + marginMs || toNumber(stated) > toNumber(known)) {
		return known;
	}

	const isSame = stated.requestsPerS === known.requestsPerS;
	return {
		requestsPerS: stated.requestsPerS,
		askedAt: isSame ? Math.max(known.askedAt, stated.askedAt) : stated.askedAt,
		answeredAt: Math.max(known.answeredAt, stated.answeredAt),
	};
}
