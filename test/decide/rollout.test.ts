import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createLease} from '../../src/decide/orders/create-lease.js';
import {getMaxConcurrentLoads} from '../../src/decide/orders/get-max-concurrent-loads.js';
import {planRollout} from '../../src/decide/orders/plan-rollout.js';
import {computeStaleWeightsPenalty} from '../../src/decide/forwarding/compute-stale-weights-penalty.js';
import {createSuspendAwareClock} from '../../src/util/create-suspend-aware-clock.js';

const engine = fc.record({
	id: fc.uuid(), version: fc.integer({min: 1, max: 4}), inFlight: fc.nat(50), isBusy: fc.boolean(),
});

describe('the plan of a rollout', () => {
	test('selects at most as many engines as may load at once, none busy or up to date, by oldest weights and then fewest requests', () => {
		fc.assert(fc.property(fc.uniqueArray(engine, {selector: ({id}) => id, maxLength: 40}), engines => {
			const planned = planRollout(engines, 3);
			const busy = engines.filter(({isBusy}) => isBusy).length;
			const selected = planned.map(id => engines.find(candidate => candidate.id === id)!);
			const rest = engines.filter(({id, isBusy, version}) => !planned.includes(id) && !isBusy && version < 3);
			expect(planned.length + Math.min(busy, getMaxConcurrentLoads(engines.length))).toBeLessThanOrEqual(getMaxConcurrentLoads(engines.length));
			expect(selected.every(({isBusy, version}) => !isBusy && version < 3)).toBe(true);
			const computeOrder = ({version, inFlight}: {readonly version: number; readonly inFlight: number}): number => (version * 1000) + inFlight;
			expect(selected.every(one => rest.every(other => computeOrder(one) <= computeOrder(other)))).toBe(true);
		}), {seed: 7});
	});

	test.each([[1, 1], [4, 2], [6, 2], [13, 4], [50, 15]])('of %d engines lets %d load at once', (count, atOnce) => {
		expect(getMaxConcurrentLoads(count)).toBe(atOnce);
	});

	// A roll-out that began late still updated two of six engines at a time, and went on for seconds after the old weights could not be used.
	test.each([
		['all the time is left', 6, 6, 9500, 2],
		['all the time is left', 13, 13, 9500, 4],
		['the roll-out begins late', 6, 6, 4000, 3],
		['the roll-out begins late', 13, 13, 4000, 7],
		['the roll-out is nearly done', 6, 1, 4000, 2],
		['hardly any time is left', 6, 6, 100, 3],
	])('lets as many load as are needed when %s: of %d engines, %d behind, %d ms', (_, count, behind, usableForMs, atOnce) => {
		expect(getMaxConcurrentLoads(count, behind, {usableForMs, updateMs: 2400})).toBe(atOnce);
	});

	// Engines that still served were updated at once beside those whose weights could not be used any more.
	test.each([
		['all old weights can be used', [5000, 5000, 5000, 5000, 5000, 5000], 2],
		['some can\'t', [0, -1, 0, 5000, 5000, 5000], 4],
		['one can\'t', [0, 5000, 5000, 5000, 5000, 5000], 3],
		['none can', [0, 0, 0, 0, 0, 0], 6],
		['nobody knows how old they are', Array.from({length: 6}, () => Number.NEGATIVE_INFINITY), 6],
	])('updates all engines whose weights can\'t be used, and as many of the others as of a service without them, when %s', (_, usableForMs, atOnce) => {
		const engines = usableForMs.map((each, index) => ({
			id: `e-${index}`, version: each > 0 ? 2 : 1, inFlight: 0, isBusy: false, usableForMs: each,
		}));
		expect(planRollout(engines, 3, 100).length).toBe(atOnce);
	});

	// Two engines that did not respond, whose weights could not be used, took up both places of those that served.
	test('leaves the places of engines that serve to them while others with spent weights are ordered again and again', () => {
		const engines = [1, 2, 3, 4, 5, 6].map(number => ({
			id: `e-${number}`, version: number <= 2 ? 1 : 2, inFlight: 0, isBusy: number <= 2, usableForMs: number <= 2 ? -1 : 9000,
		}));
		expect(planRollout(engines, 3, 2400)).toEqual(['e-3', 'e-4']);
	});

	test.each([
		['have responded', [], ['e-1', 'e-2']],
		['have not responded of late', ['e-1', 'e-2'], ['e-3', 'e-4']],
	])('chooses others before engines that would be next and %s', (_, unresponsive, planned) => {
		const engines = [1, 2, 3, 4].map(number => ({
			id: `e-${number}`, version: 1, inFlight: number, isBusy: false, isUnresponsive: unresponsive.includes(`e-${number}`),
		}));
		expect(planRollout(engines, 2)).toEqual(planned);
	});
});

describe('the lease of a rollout', () => {
	test('never lets two hosts act within the minimum handover time of each other, even when they pause at any point', () => {
		// Minimum time between the last act of one host and the first act of another, and how long a host acts after a renewal.
		const [minHandoverMs, actingMs] = [3000, 1200];
		// As in the rollout lease, 300 ms are allowed for orders in transit.
		const takeoverMs = minHandoverMs + actingMs + 300;
		const step = fc.record({host: fc.nat(2), gapMs: fc.nat(900), writes: fc.boolean()});
		fc.assert(fc.property(fc.array(step, {maxLength: 200}), steps => {
			let stored = {version: 0, token: 0};
			let now = 0;
			const leases = Array.from({length: 3}, () => createLease(0, {leaseMs: takeoverMs, marginMs: takeoverMs - actingMs}));
			let last: {host: number; at: number; token: number} | undefined;
			for (const {host, gapMs, writes} of steps) {
				now += gapMs;
				const lease = leases[host]!;
				const held = lease.fencing(now);
				if (held === undefined) {
					lease.observe(stored.version, stored.token, now);
				}

				if (writes && (held !== undefined || lease.canAcquire(now)) && lease.version() === stored.version) {
					stored = {version: stored.version + 1, token: held ?? stored.token + 1};
					lease.recordRenewal(stored.version, stored.token, {held: now, wait: now});
				}

				const token = lease.fencing(now);
				if (token === undefined) {
					continue;
				}

				// This host acts now: any other host must have last acted at least `minHandoverMs` ago, with a lower token.
				if (last && last.host !== host && (now - last.at < minHandoverMs || token <= last.token)) {
					return false;
				}

				last = {host, at: now, token};
			}

			return true;
		}), {seed: 8, numRuns: 500});
	});

	test('is timed by a clock that includes the time of a suspension, which the monotonic clock omits', () => {
		let steady = 0;
		let wall = 1000;
		const clock = createSuspendAwareClock(() => steady, () => wall);
		const advance = (steadyMs: number, wallMs: number): number => {
			steady += steadyMs;
			wall += wallMs;
			return clock();
		};

		expect([advance(100, 100), advance(10, 5010), advance(100, 100), advance(100, -3000), advance(100, 100)]).toEqual([100, 5110, 5210, 5310, 5410]);
	});
});

describe('the penalty of an engine with stale weights', () => {
	test.each([
		['no newer ones are desired', undefined, 100, 0],
		['newer ones became desired just now', 100, 100, 100],
		['newer ones became desired long ago', 9600, 0, undefined],
		['the request would wait until the newer ones are old', 5500, 4100, undefined],
		['the request begins in time although it waits long', 5300, 4100, 100],
		['nobody knows when newer ones became desired', Number.POSITIVE_INFINITY, 0, undefined],
	] as const)('has the expected value when %s', (_, staleForMs, waitMs, expected) => {
		expect(computeStaleWeightsPenalty({
			staleForMs, waitMs, maxStaleMs: 12_000, objectiveMs: 400,
		})).toBe(expected);
	});
});
