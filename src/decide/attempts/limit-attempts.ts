import {grantAttempts} from './grant-attempts.js';
import {type SpentAttempts} from './spent-attempts.js';
import {type StatedAttempts} from './stated-attempts.js';

/** Limit on the sends of one request; more would only add load when all upstreams are full. */
const maxSends = 5;
/** Limit on failed connections of one request; each marks its upstream as out of reach. */
const maxUnsent = 16;

const nothingSpent: SpentAttempts = {
	runs: 0, sends: 0, unsent: 0, upstreams: [],
};

/** Options of `limitAttempts`. */
type LimitAttemptsOptions = {
	/** Limit on runs, from the route. */
	readonly maxAttempts: number;
	/** Whether another host has handed the request on. */
	readonly isRelayed: boolean;
	/** What that host states; an earlier build states nothing. */
	readonly stated: StatedAttempts | undefined;
};

/**
Returns what has been spent of a request's attempts when it arrives at this host, and the limits. An earlier build counts one run for each host
that it asks, so that its bound holds if this host uses no more.
*/
export function limitAttempts({maxAttempts, isRelayed, stated}: LimitAttemptsOptions): StatedAttempts {
	const limits = {runs: maxAttempts, sends: maxSends, unsent: maxUnsent};
	if (!isRelayed) {
		return {spent: nothingSpent, limits};
	}

	return stated
		? {
			spent: stated.spent,
			limits: {
				runs: Math.min(limits.runs, stated.limits.runs),
				sends: Math.min(limits.sends, stated.limits.sends),
				unsent: Math.min(limits.unsent, stated.limits.unsent),
			},
		}
		: {spent: nothingSpent, limits: grantAttempts(nothingSpent, limits)};
}
