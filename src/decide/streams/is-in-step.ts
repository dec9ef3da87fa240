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
/** A host is silent after this long without a report, or after several of its report intervals if that is longer. */
const minSilenceMs = 400;
const silentIntervals = 4;

/**
Returns whether a host can be sure that it knows of each version that serves. Fault pattern: a host that is cut off, or stands still, while upstreams
of a new version begin streams through other hosts.
*/
export function isInStep({confirmedAgeMs, runningForMs, heard}: Knowledge): boolean {
	const {goneAfterMs, maxConfirmedAgeMs} = versionKnowledgeLimits;
	const isSilent = ({ageMs, everyMs}: Knowledge['heard'][number]): boolean =>
		ageMs > Math.max(minSilenceMs, silentIntervals * everyMs) && ageMs < goneAfterMs;
	return confirmedAgeMs !== undefined && confirmedAgeMs <= maxConfirmedAgeMs && runningForMs >= minRunningMs && !heard.some(host => isSilent(host));
}
