import {mergePaceStates} from './merge-pace-states.js';
import {type ReportedPace} from './reported-pace.js';

/** Limits in one domain report. */
const maxPaces = 128;

/** Merges what several hosts report into one report for each start of an upstream: the newest limit, and all answers under it. */
export function mergeReportedPaces(reported: readonly ReportedPace[]): readonly ReportedPace[] {
	const merged = new Map<string, ReportedPace>();
	for (const pace of reported) {
		const key = `${pace.id}\n${pace.startedAt}`;
		const known = merged.get(key);
		const isSame = known?.setbacks === pace.setbacks && known.limit === pace.limit;
		if (known && isSame) {
			merged.set(key, {...known, onTime: known.onTime + pace.onTime, slow: known.slow + pace.slow});
		} else {
			merged.set(key, known ? mergePaceStates(known, pace) : pace);
		}
	}

	return [...merged.values()].slice(0, maxPaces);
}
