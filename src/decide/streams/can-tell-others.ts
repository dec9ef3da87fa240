import {type HostReach} from './host-reach.js';
import {versionKnowledgeLimits} from './version-knowledge-limits.js';

/** How a host reaches those that remember the streams that it begins. */
type Reach = HostReach & {
	/** Time since the store confirmed the list of upstreams, in milliseconds; `undefined` when it never did. */
	readonly confirmedAgeMs: number | undefined;
};

/**
Returns whether a host can tell others of the streams that it begins. Fault pattern: a host that is cut off from the other hosts and the store, but not
from callers and upstreams, is killed, and its streams are taken up elsewhere. A store that responds to a host that hears no other one counts only once
these may be gone: it is told in batches, of which the last one may be missing.
*/
export function canTellOthers({heardAgeMs, silentAfterMs, isUnheard, confirmedAgeMs}: Reach): boolean {
	const {goneAfterMs, maxConfirmedAgeMs} = versionKnowledgeLimits;
	if (heardAgeMs === undefined) {
		return true;
	}

	if (heardAgeMs <= silentAfterMs) {
		return !isUnheard;
	}

	return heardAgeMs > goneAfterMs && confirmedAgeMs !== undefined && confirmedAgeMs <= maxConfirmedAgeMs;
}
