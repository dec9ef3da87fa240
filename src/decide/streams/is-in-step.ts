import {isSilent} from './is-silent.js';
import {versionKnowledgeLimits} from './version-knowledge-limits.js';

/** How recent a host's knowledge is of the versions that serve. Times are in milliseconds. */
type Knowledge = {
	/** Time since the store confirmed the list of upstreams, directly or through another host; `undefined` when it never did. */
	readonly confirmedAgeMs: number | undefined;
	/** Time since this process last stood still, or started. */
	readonly runningForMs: number;
	/** The other hosts that were heard: time since the last report, and time between two reports. */
	readonly heard: ReadonlyArray<{readonly ageMs: number; readonly everyMs: number}>;
};

/** Time in which reports that came while this process stood still are read. */
const minRunningMs = 1000;

/**
Returns whether a host can be sure that it knows of each version that serves. Fault pattern: a host that is cut off, or stands still, while upstreams
of a new version begin streams through other hosts.
*/
export function isInStep({confirmedAgeMs, runningForMs, heard}: Knowledge): boolean {
	return confirmedAgeMs !== undefined && confirmedAgeMs <= versionKnowledgeLimits.maxConfirmedAgeMs && runningForMs >= minRunningMs && !heard.some(host => isSilent(host));
}
