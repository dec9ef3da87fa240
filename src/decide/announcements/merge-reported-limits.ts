import {type ReportedLimit} from '../../announcements/reported-limit.js';
import {type StatedLimit} from '../../announcements/stated-limit.js';
import {mergeStatedLimits} from './merge-stated-limits.js';

/** Limits in one domain report. */
const maxLimits = 64;

const toStated = ({perS, askedAgeMs, answeredAgeMs}: ReportedLimit): StatedLimit => ({requestsPerS: perS, askedAt: -askedAgeMs, answeredAt: -answeredAgeMs});

/** Merges the limits that several hosts report, with their ages at the same moment, into one for each start of an upstream. */
export function mergeReportedLimits(reported: readonly ReportedLimit[]): readonly ReportedLimit[] {
	const merged = new Map<string, ReportedLimit>();
	for (const limit of reported) {
		const {id, startedAt, kind = 'limit'} = limit;
		const key = `${id}\n${startedAt}\n${kind}`;
		const known = merged.get(key);
		const stated = known && mergeStatedLimits(toStated(known), toStated(limit), 0);
		merged.set(key, stated
			? {
				...limit, perS: stated.requestsPerS, askedAgeMs: -stated.askedAt, answeredAgeMs: -stated.answeredAt,
			}
			: limit);
	}

	return [...merged.values()].slice(0, maxLimits);
}
