import {mergeStatedLimits} from '../decide/announcements/merge-stated-limits.js';
import {toValidLimit} from '../decide/announcements/to-valid-limit.js';
import {log} from '../observe/log.js';
import {reportErrorMs} from './report-error-ms.js';
import {type StatedLimit} from './stated-limit.js';
import {type StatedNumber} from './stated-number.js';
import {type StatementKind} from './statement-kind.js';

/** A change is in every report for this long; then it is repeated, and for `endRepeatMs` where it is the end of a limit. */
const newsMs = 2000;
const repeatIntervalMs = 1000;
const endRepeatMs = 10_000;

/** Identity of one start of an upstream. */
type UpstreamStart = {
	readonly id: string;
	readonly startedAt: number | undefined;
};

/** What is logged of a kind of statement. */
const messages: Readonly<Record<StatementKind, {readonly stated: string; readonly invalid: string}>> = {
	limit: {stated: 'upstream states a limit', invalid: 'upstream states an invalid limit, ignored'},
	leaving: {stated: 'upstream states that it leaves', invalid: 'upstream states in an invalid way that it leaves, ignored'},
	brittle: {stated: 'upstream states that it is brittle', invalid: 'upstream states in an invalid way that it is brittle, ignored'},
};

/** Creates the record of one number that a start of an upstream states. */
export function createStatedNumber({id, startedAt}: UpstreamStart, kind: StatementKind, onChange: () => void): StatedNumber {
	let known: StatedLimit | undefined;
	/** Whether this host received the newest statement from the upstream itself. */
	let isOwn = false;
	let changedAt = Number.NEGATIVE_INFINITY;
	let reportedAt = Number.NEGATIVE_INFINITY;
	/** The invalid number that was logged last. */
	let invalid: number | undefined;

	const merge = (stated: StatedLimit, isFromUpstream: boolean, source: string, now: number): void => {
		const isLater = !known || stated.askedAt >= known.answeredAt + reportErrorMs;
		if (!isFromUpstream && !isLater && stated.requestsPerS === known?.requestsPerS) {
			// What others repeat says nothing new.
			return;
		}

		const merged = known ? mergeStatedLimits(known, stated, isFromUpstream && isOwn ? 0 : reportErrorMs) : stated;
		if (merged === known) {
			return;
		}

		isOwn = isFromUpstream;
		if (merged.requestsPerS !== known?.requestsPerS) {
			changedAt = now;
			onChange();
			log.info({
				upstream: id, startedAt, requestsPerS: merged.requestsPerS, before: known?.requestsPerS, source, ageMs: Math.round(now - stated.answeredAt),
			}, messages[kind].stated);
		}

		known = merged;
	};

	const logInvalid = (requestsPerS: number | undefined, requestId: string | undefined): void => {
		const isInvalid = requestsPerS !== undefined && toValidLimit(requestsPerS) === undefined;
		if (isInvalid && !Object.is(requestsPerS, invalid)) {
			log.warn({
				upstream: id, startedAt, requestsPerS: String(requestsPerS), requestId,
			}, messages[kind].invalid);
		}

		invalid = isInvalid ? requestsPerS : undefined;
	};

	const isDue = (now: number): boolean => {
		if (!known || !isOwn) {
			return false;
		}

		const isKept = known.requestsPerS !== undefined || now - changedAt < endRepeatMs;
		return now - changedAt < newsMs || (isKept && now - reportedAt >= repeatIntervalMs);
	};

	return {
		record(stated, {askedAt, requestId, isSigned}, now) {
			logInvalid(stated, requestId);
			const requestsPerS = toValidLimit(stated);
			// A limit ends with a response of the upstream itself, and there is nothing to end before the first one.
			const mayEnd = known !== undefined && isSigned;
			if (requestsPerS !== undefined || mayEnd) {
				merge({requestsPerS, askedAt, answeredAt: now}, true, `request ${requestId}`, now);
			}
		},
		recordReported({perS, askedAgeMs, answeredAgeMs}, source, now) {
			const requestsPerS = toValidLimit(perS);
			const mayEnd = known !== undefined;
			if (requestsPerS !== undefined || mayEnd) {
				merge({requestsPerS, askedAt: now - askedAgeMs, answeredAt: now - answeredAgeMs}, false, source, now);
			}
		},
		value: () => known?.requestsPerS,
		lastReportedAt: () => reportedAt,
		isDue,
		toReported(now) {
			return known && {
				id, startedAt, ...(kind === 'limit' ? {} : {kind}), perS: known.requestsPerS, askedAgeMs: Math.round(now - known.askedAt), answeredAgeMs: Math.round(now - known.answeredAt),
			};
		},
		recordReport(now) {
			reportedAt = now;
		},
		repeat() {
			reportedAt = Number.NEGATIVE_INFINITY;
		},
	};
}
