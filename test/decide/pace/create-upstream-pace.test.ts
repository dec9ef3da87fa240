import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {computePaceChance} from '../../../src/decide/pace/compute-pace-chance.js';
import {createLatencyBaseline} from '../../../src/decide/pace/create-latency-baseline.js';
import {createUpstreamPace} from '../../../src/decide/pace/create-upstream-pace.js';
import {mergePaceStates} from '../../../src/decide/pace/merge-pace-states.js';
import {createSeededRandom} from '../../../src/util/create-seeded-random.js';

const settings = {initialShare: 0.125, slowFactor: 2, quietMs: 2000};

const event = fc.oneof(
	fc.record({
		kind: fc.constant('answer' as const), ageMs: fc.nat(4000), ratio: fc.double({min: 0, max: 50, noNaN: true}), inFlight: fc.nat(100),
	}),
	fc.record({kind: fc.constant('failure' as const), ageMs: fc.nat(4000), isLost: fc.boolean()}),
	fc.record({
		kind: fc.constant('review' as const), ageMs: fc.nat(4000), inFlight: fc.nat(100), isWaiting: fc.boolean(),
	}),
	fc.record({
		kind: fc.constant('report' as const), setbacks: fc.nat(9), limit: fc.nat(200), onTime: fc.nat(50), slow: fc.nat(50),
	}),
	fc.record({kind: fc.constant('slots' as const), slots: fc.nat(64)}),
);

function apply(pace: ReturnType<typeof createUpstreamPace>, each: typeof event extends fc.Arbitrary<infer T> ? T : never, now: number): void {
	switch (each.kind) {
		case 'answer': {
			pace.recordAnswer({sentAt: now - each.ageMs, ratio: each.ratio, inFlight: each.inFlight}, now);
			break;
		}

		case 'failure': {
			pace.recordFailure({sentAt: now - each.ageMs, isLost: each.isLost}, now);
			break;
		}

		case 'review': {
			pace.review({inFlight: each.inFlight, waitingSince: each.isWaiting ? now - each.ageMs : undefined}, now);
			break;
		}

		case 'report': {
			pace.recordReported('other', each, now);
			break;
		}

		case 'slots': {
			pace.setSlots(each.slots);
		}
	}
}

describe('the limit of an upstream', () => {
	test('is at least one trial and at most the slots, and rises again after a quiet time', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 64}), fc.boolean(), fc.array(fc.tuple(fc.nat(500), event), {maxLength: 60}), (initialSlots, hasStarted, events) => {
			const pace = createUpstreamPace({
				slots: initialSlots, hasStarted, settings, now: 0,
			});
			let slots = initialSlots;
			let now = 0;
			for (const [gapMs, each] of events) {
				now += gapMs;
				slots = each.kind === 'slots' ? Math.max(1, each.slots) : slots;
				apply(pace, each, now);
				expect(pace.state().limit).toBeGreaterThanOrEqual(1);
				expect(pace.state().limit).toBeLessThanOrEqual(slots);
			}

			// Six doublings of one trial reach any number of slots here.
			for (let step = 0; step <= 6; step++) {
				now += settings.quietMs;
				pace.review({inFlight: 0, waitingSince: undefined}, now);
			}

			expect(pace.state().limit).toBe(slots);
		}), {seed: 41, numRuns: 500});
	});

	test('rises with answers on time alone, and is the same at hosts that hear of each other in any order', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.nat(5), fc.nat(64)), {minLength: 1, maxLength: 8}), pairs => {
			const states = pairs.map(([setbacks, limit]) => ({setbacks, limit}));
			const merge = (list: typeof states) => {
				let merged = list[0]!;
				for (const each of list) {
					merged = mergePaceStates(merged, each);
				}

				return merged;
			};

			expect(merge(states.toReversed())).toEqual(merge(states));
		}), {seed: 42});
		const pace = createUpstreamPace({
			slots: 32, hasStarted: true, settings, now: 0,
		});
		for (let now = 1; pace.isLimited() && now < 100; now++) {
			pace.recordAnswer({sentAt: now, ratio: 1, inFlight: pace.state().limit}, now);
		}

		expect(pace.isLimited()).toBe(false);
	});

	// Guards against a host that learns of a slow upstream alone: answers that others had are enough.
	test('falls and rises by the answers that other hosts report', () => {
		for (const [onTime, slow, expected] of [[2, 0, 8], [0, 4, 2], [1, 1, 4]] as const) {
			const pace = createUpstreamPace({
				slots: 32, hasStarted: true, settings, now: 0,
			});
			pace.review({inFlight: 4, waitingSince: undefined}, 1);
			pace.recordReported('other', {
				setbacks: 0, limit: 4, onTime, slow,
			}, 1);
			expect(pace.state().limit).toBe(expected);
		}
	});

	test.each([
		['a limit that was not used', 1, 4],
		['a used one', 4, 8],
	])('after answers on time under %s', (_name, inFlight, expected) => {
		const pace = createUpstreamPace({
			slots: 32, hasStarted: true, settings, now: 0,
		});
		for (let index = 0; index < 3; index++) {
			pace.recordAnswer({sentAt: 1, ratio: 1, inFlight}, 1);
		}

		expect(pace.state().limit).toBe(expected);
	});

	// Guards against single slow answers that shrink a warm upstream: a sixth of them, 2.5 times as long.
	test('stays at a warm upstream where a sixth of 100,000 answers is slow', () => {
		const random = createSeededRandom(43);
		const pace = createUpstreamPace({
			slots: 32, hasStarted: false, settings, now: 0,
		});
		for (let now = 0; now < 100_000; now++) {
			pace.recordAnswer({sentAt: now, ratio: random() < 1 / 6 ? 2.5 : 1, inFlight: 20}, now);
			expect(pace.isLimited()).toBe(false);
		}
	});

	test('falls at a warm upstream whose answers have all become slow', () => {
		const pace = createUpstreamPace({
			slots: 32, hasStarted: false, settings, now: 0,
		});
		for (let now = 0; now < 12; now++) {
			pace.recordAnswer({sentAt: now, ratio: 2.5, inFlight: 20}, now);
		}

		expect(pace.state()).toEqual({setbacks: 1, limit: 16});
	});

	// Guards against an upstream of another kind that is slower than the rest of its service and would stay limited for good.
	test('rises again at an upstream that is three times as slow at any limit', () => {
		const pace = createUpstreamPace({
			slots: 32, hasStarted: true, settings, now: 0,
		});
		let now = 0;
		for (; now < 60_000; now += 50) {
			pace.recordAnswer({sentAt: now, ratio: 3, inFlight: 32}, now);
		}

		expect(pace.isLimited()).toBe(false);
	});
});

describe('the chance of a request at a limited upstream', () => {
	// Guards against hosts that each take the whole first allowance of an upstream that all of them see start.
	test.each([1, 8, 60])('lets %i hosts that choose at once take about the room together', hosts => {
		const random = createSeededRandom(44);
		const taken = Array.from({length: 2000}, () => Array.from({length: hosts}, () => random() < computePaceChance({limit: 4, inFlight: 0, unreported: hosts - 1}) ? 1 : 0)
			.reduce<number>((sum, each) => sum + each, 0));
		expect(taken.reduce((sum, each) => sum + each, 0) / taken.length).toBeLessThanOrEqual(4.2);
		expect(Math.max(...taken)).toBeLessThanOrEqual(16);
	});

	test.each([
		['no room', 4, 4, 0, 0],
		['room, and no other hosts', 4, 3, 0, 1],
	])('with %s', (_name, limit, inFlight, unreported, expected) => {
		expect(computePaceChance({limit, inFlight, unreported})).toBe(expected);
	});
});

describe('the median of the times of answers', () => {
	// Guards against single slow answers that raise what counts as normal, and against a latency model that is far off.
	test.each([0.3, 1, 6])('follows answers %f times as long as predicted, and not the sixth that is slow', typical => {
		const random = createSeededRandom(45);
		const baseline = createLatencyBaseline();
		for (let index = 0; index < 1000; index++) {
			baseline.record(typical * (0.9 + (random() * 0.2)) * (random() < 1 / 6 ? 2.5 : 1));
		}

		expect(baseline.median() / typical).toBeGreaterThan(0.8);
		expect(baseline.median() / typical).toBeLessThan(1.3);
	});
});
