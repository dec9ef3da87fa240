import {type HostReach} from './host-reach.js';
import {streamCopies} from './stream-copies.js';
import {versionKnowledgeLimits} from './version-knowledge-limits.js';

/** How a host reaches those that remember the streams that it begins. */
type Reach = HostReach & {
	/** Time since the store confirmed the list of upstreams, in milliseconds; `undefined` when it never did. */
	readonly confirmedAgeMs: number | undefined;
};

/**
Returns whether a host can tell so many others of the streams that it begins that they outlive it, and others that are lost with it. Fault pattern: hosts
that are cut off from the other hosts and the store, but not from callers and upstreams, are killed, and their streams are taken up elsewhere. Hosts that
have been silent for long are left out only where the store responds; before that, the store that is told in batches may lack the last one.
*/
export function canTellOthers({heardAgesMs, inReach, confirmedAgeMs}: Reach): boolean {
	const {goneAfterMs, maxConfirmedAgeMs} = versionKnowledgeLimits;
	const mayBeGone = confirmedAgeMs !== undefined && confirmedAgeMs <= maxConfirmedAgeMs;
	const others = mayBeGone ? heardAgesMs.filter(ageMs => ageMs <= goneAfterMs) : heardAgesMs;
	return inReach >= streamCopies.fewest(others.length + 1);
}
