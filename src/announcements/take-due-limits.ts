import {type ReportedLimit} from './reported-limit.js';
import {type StatedNumber} from './stated-number.js';

/** Limits in one report; the others follow in the next ones. */
const maxReportedLimits = 32;

/** Returns what the next report says of limits: what is due, first what has waited longest. Records that it is reported. */
export function takeDueLimits(statements: readonly StatedNumber[], now: number): readonly ReportedLimit[] {
	const due = statements.filter(each => each.isDue(now)).toSorted((a, b) => a.lastReportedAt() - b.lastReportedAt()).slice(0, maxReportedLimits);
	return due.flatMap(each => {
		each.recordReport(now);
		return [each.toReported(now)!];
	});
}
