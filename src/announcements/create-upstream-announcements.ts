import {createStatedNumber} from './create-stated-number.js';
import {type UpstreamAnnouncements} from './upstream-announcements.js';

/** Creates the record of what one start of an upstream says of itself. */
export function createUpstreamAnnouncements(start: {readonly id: string; readonly startedAt: number | undefined}): UpstreamAnnouncements {
	let closedUntil = Number.NEGATIVE_INFINITY;
	const reopen = (): void => {
		closedUntil = Number.NEGATIVE_INFINITY;
	};

	const limit = createStatedNumber(start, 'limit', reopen);
	const brittle = createStatedNumber(start, 'brittle', reopen);
	const statements = {limit, brittle} as const;
	return {
		record({requestsPerS, turnedAwayPerS}, announcedIn, now) {
			limit.record(requestsPerS, announcedIn, now);
			brittle.record(turnedAwayPerS, announcedIn, now);
		},
		recordReported(reported, source, now) {
			statements[reported.kind ?? 'limit'].recordReported(reported, source, now);
		},
		statements: Object.values(statements),
		limit,
		brittle,
		closeUntil(at) {
			closedUntil = at;
		},
		closedForMs: now => limit.value() === undefined && brittle.value() === undefined ? 0 : Math.max(0, closedUntil - now),
	};
}
