import {describe, expect, test} from 'vitest';
import {createUpstreamPace} from '../../../src/decide/pace/create-upstream-pace.js';
import {createBaselinePace, type BaselinePolicy} from '../../support/create-baseline-pace.js';
import {
	simulatedSlots as slots, simulatedWarmMs, simulatePace, type PaceScenario, type UpstreamAbility,
} from '../../support/simulate-pace.js';

const settings = {initialShare: 0.125, slowFactor: 2, quietMs: 2000};
/** The objective of the first deployment's long prompts. */
const objectiveMs = 819;
const timeoutMs = 60_000;
/** Requests a second that a warm upstream ends, as a sixth of them takes 2.5 times as long. */
const warmPerS = slots * 1000 / (simulatedWarmMs * 1.25);
const ramp = (now: number, from: number, until: number, low: number, high: number): number => low + ((high - low) * Math.min(1, Math.max(0, (now - from) / (until - from))));

type Start = {
	readonly hasStarted: boolean;
	/** Whether an upstream without a limit is flooded. */
	readonly floods: boolean;
	readonly ability: (now: number) => UpstreamAbility;
	/** From when the queue is measured, and when the upstream is able to carry its share. */
	readonly queueFrom: number;
	readonly ableAt: number;
};

/** Share of the warm capacity that is asked for. */
const demand = 0.7;

const starts: Readonly<Record<string, Start>> = {
	'a start that is cold for 6 s': {
		hasStarted: true, floods: true, queueFrom: 0, ableAt: 6000,
		ability: now => ramp(now, 0, 6000, 0.08, 1),
	},
	'a start that is able at once': {
		hasStarted: true, floods: false, queueFrom: 0, ableAt: 0,
		ability: () => 1,
	},
	'a recovery after a crash': {
		hasStarted: false, floods: true, queueFrom: 4000, ableAt: 8000,
		ability: now => now < 2000 ? 1 : (now < 4000 ? 'refuses' : ramp(now, 4000, 8000, 0.08, 1)),
	},
	'a return of a whole domain': {
		hasStarted: false, floods: true, queueFrom: 7000, ableAt: 12_000,
		ability: now => now < 2000 ? 1 : (now < 7000 ? 'silent' : ramp(now, 7000, 12_000, 0.08, 1)),
	},
	'a slow-down': {
		hasStarted: false, floods: true, queueFrom: 2000, ableAt: 9500,
		ability: now => now < 6000 ? ramp(now, 2000, 4000, 1, 0.3) : ramp(now, 9000, 9500, 0.3, 1),
	},
};

const measure = (start: Start, hosts: number, createPace: PaceScenario['createPace'], seed = 1) => {
	const result = simulatePace({
		hosts, hasStarted: start.hasStarted, abilityAt: start.ability, requestsPerS: () => warmPerS * demand, durationMs: start.ableAt + 5000, seed, createPace,
	});
	return {queueMs: result.maxQueueMs(start.queueFrom), carried: result.carriedShare(start.ableAt + 2000, start.ableAt + 5000)};
};

const chosen: PaceScenario['createPace'] = (hasStarted, now) => createUpstreamPace({
	slots, hasStarted, settings, now,
});
const baseline = (policy: BaselinePolicy): PaceScenario['createPace'] => (hasStarted, now) => createBaselinePace(policy, {slots, hasStarted, now});

const cases = Object.entries(starts).flatMap(([name, start]) => [1, 8, 60].map(hosts => [name, hosts, start] as const));
const seeds = [1, 2, 3];
const carriedTarget = 0.9;

describe('the limit that follows the answers', () => {
	// Guards against hosts that all send a cold upstream their full share, and against limits that stay low once the upstream is able.
	test.each(cases)('neither floods an upstream nor leaves it idle: %s, %i hosts', (_name, hosts, start) => {
		for (const seed of seeds) {
			const {queueMs, carried} = measure(start, hosts, chosen, seed);
			expect(queueMs).toBeLessThan(objectiveMs);
			expect(carried).toBeGreaterThanOrEqual(carriedTarget);
		}
	}, timeoutMs);

	// Guards against slow answers of single requests that are taken for a slow upstream.
	test.each([1, 8, 60])('does not fall at a warm upstream where a sixth of the answers is slow: %i hosts', hosts => {
		const result = simulatePace({
			hosts, hasStarted: false, abilityAt: () => 1, requestsPerS: () => warmPerS * demand, durationMs: 30_000, seed: 1, createPace: chosen,
		});
		expect(result.minLimit(0, 30_000)).toBe(slots);
	}, timeoutMs);
});

describe('the weighed policies', () => {
	const flooding = cases.filter(each => each[2].floods);
	test.each(flooding)('no limit floods the upstream: %s, %i hosts', (_name, hosts, start) => {
		expect(measure(start, hosts, baseline('none')).queueMs).toBeGreaterThan(objectiveMs);
	}, timeoutMs);

	test.each(cases.filter(each => each[2].hasStarted).flatMap(([name, hosts, start]) => [
		['additive', name, hosts, start] as const,
		...(hosts > 1 ? [['gradient', name, hosts, start], ['by time', name, hosts, start]] as const : []),
	]))('%s leaves the upstream idle: %s, %i hosts', (policy, _name, hosts, start) => {
		expect(measure(start, hosts, baseline(policy)).carried).toBeLessThan(carriedTarget);
	}, timeoutMs);
});
