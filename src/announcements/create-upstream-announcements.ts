import {log} from '../observe/log.js';
import {createStatedNumber} from './create-stated-number.js';
import {reportErrorMs} from './report-error-ms.js';
import {type UpstreamAnnouncements} from './upstream-announcements.js';

/** Creates the record of what one start of an upstream says of itself. */
export function createUpstreamAnnouncements(start: {readonly id: string; readonly startedAt: number | undefined}): UpstreamAnnouncements {
	const closedUntil = {limit: Number.NEGATIVE_INFINITY, brittle: Number.NEGATIVE_INFINITY};
	const reopen = (kind: keyof typeof closedUntil): void => {
		closedUntil[kind] = Number.NEGATIVE_INFINITY;
	};

	const limit = createStatedNumber(start, 'limit', () => {
		reopen('limit');
	});
	const brittle = createStatedNumber(start, 'brittle', () => {
		reopen('brittle');
	});
	/** Never ends: a start that leaves does not come back. */
	const leaving = createStatedNumber(start, 'leaving', () => undefined);
	const statements = {limit, brittle, leaving} as const;
	let restsUntil = Number.NEGATIVE_INFINITY;
	return {
		record({requestsPerS, turnedAwayPerS, isLeaving}, announcedIn, now) {
			if (isLeaving) {
				leaving.record(0, announcedIn, now);
			}

			limit.record(requestsPerS, announcedIn, now);
			brittle.record(turnedAwayPerS, announcedIn, now);
		},
		recordReported(reported, source, now) {
			statements[reported.kind ?? 'limit'].recordReported(reported, source, now);
		},
		assumeBrittle(turnedAwayPerS, now) {
			// As old as a report can be wrong by, so that the first response of this start replaces it.
			brittle.recordReported({
				...start, kind: 'brittle', perS: turnedAwayPerS, askedAgeMs: reportErrorMs, answeredAgeMs: reportErrorMs,
			}, 'other upstreams of the service', now);
		},
		statements: Object.values(statements),
		limit,
		brittle,
		isLeaving: () => leaving.value() !== undefined,
		rest(until, requestId, now) {
			restsUntil = Math.max(restsUntil, until);
			log.info({
				upstream: start.id, startedAt: start.startedAt, restMs: Math.round(until - now), requestId,
			}, 'upstream asks this host for rest');
		},
		restsForMs: now => Math.max(0, restsUntil - now),
		closeUntil(kind, at) {
			closedUntil[kind] = at;
		},
		reopen,
		closedForMs(now) {
			const limitClosedMs = limit.value() === undefined ? 0 : closedUntil.limit - now;
			const brittleClosedMs = brittle.value() === undefined ? 0 : closedUntil.brittle - now;
			return Math.max(0, limitClosedMs, brittleClosedMs, restsUntil - now);
		},
	};
}
