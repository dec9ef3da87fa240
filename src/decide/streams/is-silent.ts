import {versionKnowledgeLimits} from './version-knowledge-limits.js';

/** A host is silent after this long without a report, or after several of its report intervals if that is longer. Times are in milliseconds. */
const minSilenceMs = 400;
const silentIntervals = 4;

/** When a host was heard: time since its last report, and time between two of them. */
type Heard = {
	readonly ageMs: number;
	readonly everyMs: number;
};

/** Returns whether a host that was heard has fallen silent of late: it may be out of reach, and is not gone yet. */
export function isSilent({ageMs, everyMs}: Heard): boolean {
	return ageMs > Math.max(minSilenceMs, silentIntervals * everyMs) && ageMs < versionKnowledgeLimits.goneAfterMs;
}
