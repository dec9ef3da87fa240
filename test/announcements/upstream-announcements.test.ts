// Guards against docs/incidents/requests-to-a-resting-upstream.md.
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createUpstreamAnnouncements} from '../../src/announcements/create-upstream-announcements.js';

type Answer = {readonly afterMs: number; readonly restMs: number};

const answers = fc.array(fc.record({afterMs: fc.integer({min: 0, max: 5000}), restMs: fc.integer({min: 1, max: 40_000})}), {minLength: 1, maxLength: 12});

/** Returns the latest end of the times asked for. */
const findEnd = (all: readonly Answer[]): number => {
	let at = 0;
	let end = 0;
	for (const {afterMs, restMs} of all) {
		at += afterMs;
		end = Math.max(end, at + restMs);
	}

	return end;
};

describe('an upstream that asks this host for rest', () => {
	test('is closed until the last of the times it asked for, whatever order its answers come in', () => {
		fc.assert(fc.property(answers, fc.integer({min: 0, max: 100_000}), (all, probedAt) => {
			const announcements = createUpstreamAnnouncements({id: 'i-0', startedAt: 1});
			let at = 0;
			for (const {afterMs, restMs} of all) {
				at += afterMs;
				announcements.rest(at + restMs, undefined, at);
			}

			const now = at + probedAt;
			const expected = Math.max(0, findEnd(all) - now);
			expect(announcements.restsForMs(now)).toBe(expected);
			expect(announcements.closedForMs(now)).toBe(expected);
		}), {seed: 32, numRuns: 300});
	});

	test.each([
		['for rest', 0, 0, 3000],
		['for rest, and is at its limit for longer', 5000, 0, 5000],
		['for rest, and has no free slot for longer', 0, 5000, 5000],
		['for rest, and is at its limit for less', 1000, 0, 3000],
	])('is closed for the longest of all reasons: %s', (_name, limitMs, brittleMs, expected) => {
		const announcements = createUpstreamAnnouncements({id: 'i-0', startedAt: 1});
		const stated = {requestsPerS: 2, turnedAwayPerS: 1, isLeaving: false};
		announcements.record(stated, {askedAt: 0, requestId: 'r', isSigned: true}, 0);
		announcements.closeUntil('limit', limitMs);
		announcements.closeUntil('brittle', brittleMs);
		announcements.rest(3000, 'r', 0);
		expect(announcements.closedForMs(0)).toBe(expected);
	});

	test('rests on when a slot of it becomes free or its statements change', () => {
		const announcements = createUpstreamAnnouncements({id: 'i-0', startedAt: 1});
		announcements.rest(3000, 'r', 0);
		announcements.reopen('brittle');
		announcements.record({requestsPerS: 2, turnedAwayPerS: 1, isLeaving: false}, {askedAt: 0, requestId: 'r', isSigned: true}, 0);
		announcements.record({requestsPerS: undefined, turnedAwayPerS: undefined, isLeaving: false}, {askedAt: 10, requestId: 'r', isSigned: true}, 20);
		expect(announcements.closedForMs(1000)).toBe(2000);
	});
});

describe('an upstream that says that it leaves', () => {
	test('has left for good, whatever it and other hosts say later', () => {
		const statement = fc.record({isLeaving: fc.boolean(), isOwn: fc.boolean(), afterMs: fc.integer({min: 1, max: 3000})});
		fc.assert(fc.property(fc.array(statement, {maxLength: 20}), all => {
			const announcements = createUpstreamAnnouncements({id: 'i-0', startedAt: 1});
			let at = 0;
			let hasLeft = false;
			for (const {isLeaving, isOwn, afterMs} of all) {
				at += afterMs;
				if (isOwn) {
					announcements.record({requestsPerS: undefined, turnedAwayPerS: undefined, isLeaving}, {askedAt: at - 1, requestId: 'r', isSigned: true}, at);
				} else if (isLeaving) {
					const other = createUpstreamAnnouncements({id: 'i-0', startedAt: 1});
					other.record({requestsPerS: undefined, turnedAwayPerS: undefined, isLeaving}, {askedAt: at - 1, requestId: 'r', isSigned: true}, at);
					for (const reported of other.statements.flatMap(each => each.toReported(at) ?? [])) {
						announcements.recordReported(reported, 'host-2', at);
					}
				}

				hasLeft ||= isLeaving;
				expect(announcements.isLeaving()).toBe(hasLeft);
			}
		}), {seed: 32, numRuns: 300});
	});
});

describe('a new start of an upstream whose service is brittle', () => {
	test.each([
		['until it has answered', undefined, 1],
		['no longer once it answers and states nothing', {turnedAwayPerS: undefined}, undefined],
		['as it states itself', {turnedAwayPerS: 16}, 16],
	] as const)('is taken to be brittle %s', (_name, answer, expected) => {
		const announcements = createUpstreamAnnouncements({id: 'i-0', startedAt: 2});
		announcements.assumeBrittle(1, 10_000);
		if (answer) {
			announcements.record({requestsPerS: undefined, isLeaving: false, ...answer}, {askedAt: 10_001, requestId: 'r', isSigned: true}, 10_020);
		}

		expect(announcements.brittle.value()).toBe(expected);
	});
});
